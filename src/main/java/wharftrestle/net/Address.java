package wharftrestle.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Addresses as they are written: HOST:PORT with a numeric host, as there are no names to look up. */
public final class Address {
    private Address() { }

    /** The address; null where the text is none. */
    public static InetSocketAddress of(String text) {
        int colon = text.lastIndexOf(':');
        if (colon > 0 && text.substring(0, colon).matches("[0-9.]{7,15}|\\[[0-9a-fA-F:.]+]")) {
            try {
                InetSocketAddress address = new InetSocketAddress(text.substring(0, colon),
                        Integer.parseInt(text.substring(colon + 1)));
                return address.isUnresolved() ? null : address;
            } catch (IllegalArgumentException e) {
                return null;
            }
        }
        return null;
    }

    /** A port on loopback that nobody has now. */
    public static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort();
        }
    }
}
