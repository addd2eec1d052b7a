package wharftrestle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static wharftrestle.transport.PeerLinkFormatFixtures.ANSWERS;
import static wharftrestle.transport.PeerLinkFormatFixtures.SENT;
import static wharftrestle.transport.PeerLinkFormatFixtures.TERMS;

import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.handover.Capabilities;
import wharftrestle.transport.PeerLink.Message;

/**
 * Holds the messages between the two processes of a host against those that an earlier build said:
 * while one build takes over from another, both speak.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PeerLinkFormatTest {
  private static final Heard END = new Heard(Message.LINK_LOST, "");

  @TempDir private Path folder;

  /** A step as the other side is told of it. */
  private record Heard(Message word, String detail) {}

  @Test
  void everyMessageIsSaidInTheRecordedBytes() throws Exception {
    List<String> expected = Files.readAllLines(SENT);

    List<String> actual = PeerLinkFormatFixtures.sentMessages(folder.resolve("n1"));

    assertEquals(String.join("\n", expected), String.join("\n", actual));
  }

  @Test
  void everyRecordedMessageIsHeardAsTheStepItWas() throws Exception {
    List<String> recorded = Files.readAllLines(SENT);
    String terms = PeerLinkFormatFixtures.terms().encode();
    List<Heard> expected =
        List.of(
            new Heard(Message.TAKEOVER_REQUEST, "1-2"),
            new Heard(Message.PREDECESSOR_CAPABILITIES, terms),
            new Heard(Message.SUCCESSOR_CAPABILITIES, terms),
            new Heard(Message.ACCEPTANCE, ""),
            new Heard(Message.REJECTION, ""),
            new Heard(Message.RETRY_LATER, ""),
            new Heard(Message.WITHDRAWAL, ""),
            new Heard(Message.OWNERSHIP_RETURNED, ""),
            new Heard(Message.KEYS_ACKNOWLEDGED, ""),
            new Heard(Message.LISTENING, ""),
            new Heard(Message.RELINQUISHED, ""),
            new Heard(Message.REJECTION, "classes differ: 'save' is 50% longer\u20ac"),
            new Heard(Message.RETRY_LATER, "busy"),
            new Heard(Message.WITHDRAWAL, "no class 'read'"),
            new Heard(Message.OWNERSHIP_RETURNED, "the folder is held"),
            new Heard(Message.KEYS_COMPLETE, ""),
            new Heard(Message.OWNERSHIP, ""),
            new Heard(Message.LEGACY_OWNERSHIP, ""),
            // Heard only where all messages of keys between it and the one before were understood.
            new Heard(Message.RELINQUISHED, ""),
            END);

    List<Heard> actual = heardOf(recorded, "ceded\\x0d\\x0a");

    assertEquals(expected, actual);
  }

  @Test
  void theWishesOfEarlierBuildsAreHeardWithTheFormatThatTheyImply() throws Exception {
    List<String> recorded =
        List.of("take n1\\x0d\\x0a", "take n1 over\\x0d\\x0a", "take n1 over 2-3 more\\x0d\\x0a");

    List<Heard> actual = heardOf(recorded, "");

    assertEquals(
        List.of(
            new Heard(Message.TAKEOVER_REQUEST, "0"),
            new Heard(Message.TAKEOVER_REQUEST, "1"),
            new Heard(Message.TAKEOVER_REQUEST, "2-3"),
            END),
        actual);
  }

  @Test
  void theRecordedQuestionsAboutKeysHaveTheRecordedAnswers() throws Exception {
    List<String> expected = Files.readAllLines(ANSWERS);
    List<String> questions =
        expected.stream()
            .filter(line -> line.startsWith("> "))
            .map(line -> line.substring(2))
            .toList();

    List<String> actual = PeerLinkFormatFixtures.exchange(folder.resolve("n1"), questions);

    assertEquals(String.join("\n", expected), String.join("\n", actual));
  }

  @Test
  void termsAreSaidInTheRecordedLines() throws Exception {
    String expected = Files.readString(TERMS);

    String actual = PeerLinkFormatFixtures.terms().encode();

    assertEquals(expected, actual);
  }

  @Test
  void theRecordedTermsAreReadWithEachOfTheirFields() throws Exception {
    String recorded = Files.readString(TERMS);

    Capabilities actual = Capabilities.decode(recorded);

    assertEquals(PeerLinkFormatFixtures.terms(), actual);
  }

  @Test
  void termsWithALineThatIsNotKnownAndWithoutAScaleAreRead() throws Exception {
    String recorded = Files.readString(TERMS).replaceFirst("scale .*\n", "later some thing\n");

    Capabilities actual = Capabilities.decode(recorded);

    assertEquals(0, actual.clockBaseUnixMillis());
    assertEquals(PeerLinkFormatFixtures.terms().keyCapacity(), actual.keyCapacity());
  }

  /** Says all this on one link, and gives what its other side is told, the end included. */
  private List<Heard> heardOf(List<String> messages, String last) throws Exception {
    BlockingQueue<Heard> heard = new LinkedBlockingQueue<>();
    PeerLink.MessageHandler side = (link, word, detail) -> heard.add(new Heard(word, detail));
    Path socket = folder.resolve("n1");
    try (ServerSocketChannel server =
            PeerLink.listen(socket, PeerLinkFormatFixtures.core().peer(), side);
        SocketChannel other = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
      for (String message : messages) {
        PeerLinkFormatFixtures.write(other, message);
      }
      PeerLinkFormatFixtures.write(other, last);
      other.shutdownOutput();
      List<Heard> all = new ArrayList<>();
      for (Heard next = heard.poll(10, TimeUnit.SECONDS);
          next != null;
          next = next.equals(END) ? null : heard.poll(10, TimeUnit.SECONDS)) {
        all.add(next);
      }
      return all;
    }
  }
}
