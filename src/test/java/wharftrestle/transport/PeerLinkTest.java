package wharftrestle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.transport.PeerLink.Message;

/** The link between the two processes of a host, with an internal error in one of them. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PeerLinkTest {
  /** More bytes than the kernel buffers for one connection. */
  private static final int MORE_THAN_SOCKET_BUFFER = 4 << 20;

  /** Links opened one after the other; more than the limit of concurrent links. */
  private static final int LINKS = 6;

  @TempDir private Path folder;
  private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();

  private Message next() throws InterruptedException {
    return received.poll(10, TimeUnit.SECONDS);
  }

  @Test
  void errorInTheHandlerMutesTheLinkWithoutClosingItOrLeakingItsPermit() throws Exception {
    Path path = folder.resolve("n1");
    PeerLink.MessageHandler handler =
        (link, message, detail) -> {
          received.add(message);
          throw new OutOfMemoryError("injected");
        };
    try (ServerSocketChannel server = PeerLink.listen(path, null, handler)) {
      assertTrue(server.isOpen());
      for (int i = 0; i < LINKS; i++) {
        try (SocketChannel peer = SocketChannel.open(UnixDomainSocketAddress.of(path))) {
          peer.write(ByteBuffer.wrap(BoundedReader.ascii("taken\r\n")));
          assertEquals(Message.KEYS_ACKNOWLEDGED, next(), "link " + i);
          ByteBuffer more = ByteBuffer.allocate(MORE_THAN_SOCKET_BUFFER);
          while (more.hasRemaining()) {
            peer.write(
                more); // would fail on a closed link, whose end means that a process has ended
          }
          assertTrue(received.isEmpty());
        }
        assertEquals(Message.LINK_LOST, next(), "only the peer's close ends the link");
      }
    }
  }
}
