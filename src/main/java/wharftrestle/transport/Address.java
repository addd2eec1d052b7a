package wharftrestle.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Addresses as they are written: HOST:PORT with a numeric host, as there are no names to look up.
 */
public final class Address {
  private static final int FIRST = 10_240;
  private static final int LAST = 32_000;
  private static final int TRIES = 20;

  private Address() {}

  /** The address; null where the text is none. */
  public static InetSocketAddress of(String text) {
    int colon = text.lastIndexOf(':');
    if (colon > 0 && text.substring(0, colon).matches("[0-9.]{7,15}|\\[[0-9a-fA-F:.]+]")) {
      try {
        InetSocketAddress address =
            new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        return address.isUnresolved() ? null : address;
      } catch (IllegalArgumentException e) {
        return null;
      }
    }
    return null;
  }

  /**
   * A port on loopback that nobody has now: below those that systems give to connections that go
   * out, as one of them would take it before it is listened at.
   */
  public static int freePort() throws IOException {
    for (int i = 0; i < TRIES; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST, LAST);
      try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return probe.getLocalPort();
      } catch (IOException taken) {
        continue;
      }
    }
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return probe.getLocalPort();
    }
  }
}
