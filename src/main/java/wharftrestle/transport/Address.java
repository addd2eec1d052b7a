package wharftrestle.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Parses addresses of the form HOST:PORT with a numeric host; names are never resolved. */
public final class Address {
  private static final int MIN_PORT = 10_240;
  private static final int MAX_PORT = 32_000;
  private static final int MAX_ATTEMPTS = 20;

  private Address() {}

  /** Parses an address; null if the text is not HOST:PORT with a numeric host. */
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
   * Finds a loopback port that is free now. It lies below the ephemeral range, because an outgoing
   * connection could otherwise occupy it before the caller listens on it.
   */
  public static int freePort() throws IOException {
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
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
