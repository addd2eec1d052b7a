package wharftrestle.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** On real sockets: whatever is read ahead, the bytes arrive in order and none is lost. */
class ReadAheadInputStreamTest {
  private static final long AHEAD_NANOS = 20_000_000;

  /** The two ends of a connection. */
  private record Ends(Socket peer, Socket socket) implements AutoCloseable {
    static Ends open() throws IOException {
      try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        Socket peer = new Socket(server.getInetAddress(), server.getLocalPort());
        return new Ends(peer, server.accept());
      }
    }

    ReadAheadInputStream input() throws IOException {
      return new ReadAheadInputStream(new BoundedReader.DeadlineInputStream(socket));
    }

    @Override
    public void close() throws IOException {
      peer.close();
      socket.close();
    }
  }

  @Property(tries = 30)
  void readAheadAtAnyPlace_losesNothing(
      @ForAll @IntRange(min = 0, max = 40_000) int length,
      @ForAll @IntRange(min = 1, max = 5_000) int readsBetween)
      throws IOException {
    byte[] sent = new byte[length];
    new Random(length).nextBytes(sent);
    try (Ends ends = Ends.open()) {
      ReadAheadInputStream input = ends.input();
      ends.peer().getOutputStream().write(sent);
      ends.peer().shutdownOutput();
      byte[] received = new byte[length];
      for (int i = 0; i < length; i++) {
        if (i % readsBetween == 0) {
          input.readAhead(System.nanoTime() + AHEAD_NANOS);
        }
        received[i] = (byte) input.read();
      }
      assertArrayEquals(sent, received);
      assertEquals(-1, input.read());
    }
  }

  @Test
  void moreInputThanMayBeReadAhead_fillsTheBuffer() throws IOException {
    try (Ends ends = Ends.open()) {
      ReadAheadInputStream input = ends.input();
      ends.peer().getOutputStream().write(new byte[ReadAheadInputStream.MAX_AHEAD_BYTES + 100]);
      input.readAhead(System.nanoTime() + 10 * AHEAD_NANOS);
      assertTrue(input.isFull());
      assertEquals(0, input.read());
      assertFalse(input.isFull());
    }
  }

  @Test
  void readOfNoBytes_doesNotWait() throws IOException {
    try (Ends ends = Ends.open()) {
      assertEquals(0, ends.input().read(new byte[0], 0, 0));
      ends.peer().getOutputStream().write(new byte[] {1, 2});
      assertArrayEquals(new byte[] {1, 2}, ends.input().readNBytes(2));
    }
  }

  @Test
  void failureWhileReadingAhead_isThrownBehindWhatWasRead() throws IOException {
    try (Ends ends = Ends.open()) {
      ReadAheadInputStream input = ends.input();
      ends.peer().getOutputStream().write(new byte[] {1, 2});
      input.readAhead(System.nanoTime() + AHEAD_NANOS);
      ends.peer().setSoLinger(true, 0);
      ends.peer().close();
      input.readAhead(System.nanoTime() + 10 * AHEAD_NANOS);
      assertEquals(1, input.read());
      assertEquals(2, input.read());
      assertThrows(IOException.class, input::read);
    }
  }
}
