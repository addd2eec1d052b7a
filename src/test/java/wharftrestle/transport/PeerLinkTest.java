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

/** The link between two processes of a box, where one of them has a fault of its own. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PeerLinkTest {
  /** More than the system holds for one connection. */
  private static final int MUCH = 4 << 20;

  /** More links, one after the other, than there may be at once. */
  private static final int LINKS = 6;

  @TempDir private Path folder;
  private final BlockingQueue<Message> heard = new LinkedBlockingQueue<>();

  private Message next() throws InterruptedException {
    return heard.poll(10, TimeUnit.SECONDS);
  }

  @Test
  void anErrorWhileHearingMakesDeafButNeitherEndsTheLinkNorKeepsItsPlace() throws Exception {
    Path at = folder.resolve("n1");
    PeerLink.MessageHandler side =
        (link, word, detail) -> {
          heard.add(word);
          throw new OutOfMemoryError("made up");
        };
    try (ServerSocketChannel server = PeerLink.listen(at, null, side)) {
      assertTrue(server.isOpen());
      for (int i = 0; i < LINKS; i++) {
        try (SocketChannel other = SocketChannel.open(UnixDomainSocketAddress.of(at))) {
          other.write(ByteBuffer.wrap(BoundedReader.ascii("taken\r\n")));
          assertEquals(Message.KEYS_ACKNOWLEDGED, next(), "link " + i);
          ByteBuffer more = ByteBuffer.allocate(MUCH);
          while (more.hasRemaining()) {
            other.write(
                more); // would break off at a closed link: its end says that a process has ended
          }
          assertTrue(heard.isEmpty());
        }
        assertEquals(Message.LINK_LOST, next(), "the end of the other side alone");
      }
    }
  }
}
