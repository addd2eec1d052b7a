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
 * Compares the messages between the two processes of a host with those recorded from an earlier
 * build, as both builds exchange them during a handover.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PeerLinkFormatTest {
  private static final Received LINK_LOST_MESSAGE = new Received(Message.LINK_LOST, "");

  @TempDir private Path folder;

  /** A handover message as the handler receives it. */
  private record Received(Message message, String detail) {}

  @Test
  void everyMessageIsSentInTheRecordedBytes() throws Exception {
    List<String> expected = Files.readAllLines(SENT);

    List<String> actual = PeerLinkFormatFixtures.sentMessages(folder.resolve("n1"));

    assertEquals(String.join("\n", expected), String.join("\n", actual));
  }

  @Test
  void everyRecordedMessageIsParsedAsItsHandoverStep() throws Exception {
    List<String> recorded = Files.readAllLines(SENT);
    String terms = PeerLinkFormatFixtures.terms().encode();
    List<Received> expected =
        List.of(
            new Received(Message.TAKEOVER_REQUEST, "1-2"),
            new Received(Message.PREDECESSOR_CAPABILITIES, terms),
            new Received(Message.SUCCESSOR_CAPABILITIES, terms),
            new Received(Message.ACCEPTANCE, ""),
            new Received(Message.REJECTION, ""),
            new Received(Message.RETRY_LATER, ""),
            new Received(Message.WITHDRAWAL, ""),
            new Received(Message.OWNERSHIP_RETURNED, ""),
            new Received(Message.KEYS_ACKNOWLEDGED, ""),
            new Received(Message.LISTENING, ""),
            new Received(Message.RELINQUISHED, ""),
            new Received(Message.REJECTION, "classes differ: 'save' is 50% longer\u20ac"),
            new Received(Message.RETRY_LATER, "busy"),
            new Received(Message.WITHDRAWAL, "no class 'read'"),
            new Received(Message.OWNERSHIP_RETURNED, "the folder is held"),
            new Received(Message.KEYS_COMPLETE, ""),
            new Received(Message.OWNERSHIP, ""),
            new Received(Message.LEGACY_OWNERSHIP, ""),
            // Received only if all messages of keys between this one and the one before were
            // parsed.
            new Received(Message.RELINQUISHED, ""),
            LINK_LOST_MESSAGE);

    List<Received> actual = receivedFrom(recorded, "ceded\\x0d\\x0a");

    assertEquals(expected, actual);
  }

  @Test
  void takeoverRequestsOfEarlierBuildsImplyTheirFormat() throws Exception {
    List<String> recorded =
        List.of("take n1\\x0d\\x0a", "take n1 over\\x0d\\x0a", "take n1 over 2-3 more\\x0d\\x0a");

    List<Received> actual = receivedFrom(recorded, "");

    assertEquals(
        List.of(
            new Received(Message.TAKEOVER_REQUEST, "0"),
            new Received(Message.TAKEOVER_REQUEST, "1"),
            new Received(Message.TAKEOVER_REQUEST, "2-3"),
            LINK_LOST_MESSAGE),
        actual);
  }

  @Test
  void recordedKeyMessagesGetTheRecordedAnswers() throws Exception {
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
  void capabilitiesAreEncodedInTheRecordedLines() throws Exception {
    String expected = Files.readString(TERMS);

    String actual = PeerLinkFormatFixtures.terms().encode();

    assertEquals(expected, actual);
  }

  @Test
  void recordedCapabilitiesAreDecodedWithAllFields() throws Exception {
    String recorded = Files.readString(TERMS);

    Capabilities actual = Capabilities.decode(recorded);

    assertEquals(PeerLinkFormatFixtures.terms(), actual);
  }

  @Test
  void capabilitiesWithAnUnknownLineAndWithoutAScaleAreDecoded() throws Exception {
    String recorded = Files.readString(TERMS).replaceFirst("scale .*\n", "later some thing\n");

    Capabilities actual = Capabilities.decode(recorded);

    assertEquals(0, actual.clockBaseUnixMillis());
    assertEquals(PeerLinkFormatFixtures.terms().keyCapacity(), actual.keyCapacity());
  }

  /** Sends the messages on one link and returns what the handler receives, LINK_LOST included. */
  private List<Received> receivedFrom(List<String> messages, String lastMessage) throws Exception {
    BlockingQueue<Received> received = new LinkedBlockingQueue<>();
    PeerLink.MessageHandler handler =
        (link, message, detail) -> received.add(new Received(message, detail));
    Path socket = folder.resolve("n1");
    try (ServerSocketChannel server =
            PeerLink.listen(socket, PeerLinkFormatFixtures.coordinator().peer(), handler);
        SocketChannel peer = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
      for (String message : messages) {
        PeerLinkFormatFixtures.write(peer, message);
      }
      PeerLinkFormatFixtures.write(peer, lastMessage);
      peer.shutdownOutput();
      List<Received> result = new ArrayList<>();
      for (Received next = received.poll(10, TimeUnit.SECONDS);
          next != null;
          next = next.equals(LINK_LOST_MESSAGE) ? null : received.poll(10, TimeUnit.SECONDS)) {
        result.add(next);
      }
      return result;
    }
  }
}
