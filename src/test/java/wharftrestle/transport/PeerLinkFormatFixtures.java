package wharftrestle.transport;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import wharftrestle.SilentPool;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionController;
import wharftrestle.admission.AdmissionSettings;
import wharftrestle.handover.Capabilities;
import wharftrestle.handover.PeerProcess;
import wharftrestle.idempotency.KeyDigest;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.metrics.Counters;
import wharftrestle.request.RequestCoordinator;
import wharftrestle.transport.PeerLink.Message;
import wharftrestle.version.VersionRange;

/**
 * Writes the recorded messages of the link between the two processes of a host, which {@link
 * PeerLinkFormatTest} reads: one line for each message, non-printable bytes as {@code \xNN}. It was
 * run once; running it again records the messages of the present build.
 */
final class PeerLinkFormatFixtures {
  static final Path FOLDER = Path.of("src/test/resources/fixtures/link");

  /** Every kind of message that this process sends, in each of its forms. */
  static final Path SENT = FOLDER.resolve("sent.txt");

  /** Requests of another process about keys, each with its answers. */
  static final Path ANSWERS = FOLDER.resolve("answers.txt");

  static final Path TERMS = FOLDER.resolve("terms.txt");

  /** The year 2100. */
  private static final long ARRIVAL_UNIX_MILLIS = 4_102_444_800_000L;

  /** Ends each exchange, so that a reader knows that nothing more follows. */
  private static final String END_MARKER = "freed 9/0/last\r\n";

  private static final int ANSWER_TIMEOUT_MS = 10_000;

  private PeerLinkFormatFixtures() {}

  /**
   * Run in the project's root directory, with the classes of the tests and the program on the class
   * path.
   */
  public static void main(String[] arguments) throws Exception {
    Files.createDirectories(FOLDER);
    Path sockets = Files.createTempDirectory("link");
    Files.write(SENT, sentMessages(sockets.resolve("sent")));
    Files.writeString(TERMS, terms().encode());
    Files.write(ANSWERS, exchange(sockets.resolve("answers"), questions()));
    System.exit(0);
  }

  static Capabilities terms() {
    return new Capabilities(
        "1.2.3 built 100% here\nand there\r",
        new VersionRange(1, 2),
        new VersionRange(1, 1),
        "/var/lib/results of n1",
        List.of(
            new Capabilities.RequestClass("read", false, 0),
            new Capabilities.RequestClass("save all", true, 12_500),
            new Capabilities.RequestClass("", true, 1)),
        List.of("gold", "no name"),
        new Capabilities.KeyCapacity(3, 1000, 4096, 1 << 20),
        1_796_284_000_123L);
  }

  /** Every message that a process can send, as it is sent. */
  static List<String> sentMessages(Path socket) throws Exception {
    try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
      server.bind(UnixDomainSocketAddress.of(socket));
      try (PeerLink link = PeerLink.connect(socket, null, (from, message, detail) -> {});
          SocketChannel reader = server.accept()) {
        link.start();
        sendEveryMessage(link);
        link.sendRelease("9/0/last");
        return messages(readToEndMarker(reader));
      }
    }
  }

  private static void sendEveryMessage(PeerLink link) {
    link.sendTakeoverRequest("n1/left box", new VersionRange(1, 2));
    link.sendPredecessorCapabilities(terms().encode());
    link.sendSuccessorCapabilities(terms().encode());
    for (Message message :
        List.of(
            Message.ACCEPTANCE,
            Message.REJECTION,
            Message.RETRY_LATER,
            Message.WITHDRAWAL,
            Message.OWNERSHIP_RETURNED,
            Message.KEYS_ACKNOWLEDGED,
            Message.LISTENING,
            Message.RELINQUISHED)) {
      link.send(message, "");
    }
    link.send(Message.REJECTION, "classes differ: 'save' is 50% longer\u20ac");
    link.send(Message.RETRY_LATER, "busy");
    link.send(Message.WITHDRAWAL, "no class 'read'");
    link.send(Message.OWNERSHIP_RETURNED, "the folder is held");
    link.sendKeysComplete(3);
    link.sendOwnership(2);
    link.sendLegacyOwnership(5);
    link.sendClaim("1/0/a key/\u00fc", ARRIVAL_UNIX_MILLIS, bytes("body"));
    link.sendGrant("1/0/granted");
    link.sendKey(
        new PeerProcess.KeyUpdate(
            "1/0/open", false, ARRIVAL_UNIX_MILLIS + 1, 22.5, bytes("asked"), null));
    link.sendKey(
        new PeerProcess.KeyUpdate(
            "1/0/failed", true, ARRIVAL_UNIX_MILLIS + 2, 1.25, bytes(""), null));
    link.sendKeyAndAwaitWrite(
        new PeerProcess.KeyUpdate(
            "1/0/over", true, ARRIVAL_UNIX_MILLIS + 3, 0.0004, bytes("a\r\nb\0"), bytes("result")));
    link.sendCompletedKey(
        new PeerProcess.CompletedKey(new KeyDigest(-1, 2), ARRIVAL_UNIX_MILLIS + 4, 30, -77, null));
    link.forwardCompletedKey(
        new PeerProcess.CompletedKey(
            new KeyDigest(3, -4), ARRIVAL_UNIX_MILLIS + 5, 7.5, 88, bytes("kept result")));
    link.sendCompletion("1/0/ended", bytes("good"));
    link.sendCompletion("1/0/failed", null);
    link.sendRelease("1/0/freed");
    link.sendIntentRequest("1/0/intend", ARRIVAL_UNIX_MILLIS + 6, bytes("asked"));
    link.sendIntentOutcome("1/0/intend", true);
    link.sendIntentOutcome("1/0/not", false);
    link.sendResultWritten("1/0/saved");
  }

  /** Requests of another process, in an order in which most of them have an answer. */
  static List<String> questions() {
    KeyDigest settled = KeyDigest.of("1/0/settled");
    return List.of(
        "claim 1%2F0%2Fnew " + ARRIVAL_UNIX_MILLIS + " 4\\x0d\\x0abody\\x0d\\x0a",
        "ended 1%2F0%2Fnew 4\\x0d\\x0agood\\x0d\\x0a",
        "claim 1%2F0%2Fnew " + ARRIVAL_UNIX_MILLIS + " 4\\x0d\\x0abody\\x0d\\x0a",
        "claim 1%2F0%2Fnew " + ARRIVAL_UNIX_MILLIS + " 5\\x0d\\x0aother\\x0d\\x0a",
        "key 1%2F0%2Ftold over "
            + ARRIVAL_UNIX_MILLIS
            + " 20000 4 6\\x0d\\x0abody\\x0d\\x0aresult\\x0d\\x0a",
        "claim 1%2F0%2Ftold " + ARRIVAL_UNIX_MILLIS + " 4\\x0d\\x0abody\\x0d\\x0a",
        "key 1%2F0%2Fopen open " + ARRIVAL_UNIX_MILLIS + " 20000 4 -\\x0d\\x0abody\\x0d\\x0a",
        "ended 1%2F0%2Fopen -\\x0d\\x0a",
        "claim 1%2F0%2Fopen " + ARRIVAL_UNIX_MILLIS + " 4\\x0d\\x0abody\\x0d\\x0a",
        String.format(
            "over %d %d %d 20000 %d 3\\x0d\\x0aold\\x0d\\x0a",
            settled.high(), settled.low(), ARRIVAL_UNIX_MILLIS, KeyDigest.checksum(bytes("body"))),
        "claim 1%2F0%2Fsettled " + ARRIVAL_UNIX_MILLIS + " 4\\x0d\\x0abody\\x0d\\x0a",
        "claim 1%2F0%2Ffreed " + ARRIVAL_UNIX_MILLIS + " 4\\x0d\\x0abody\\x0d\\x0a",
        "freed 1%2F0%2Ffreed\\x0d\\x0a",
        "intend 1%2F0%2Ffreed " + ARRIVAL_UNIX_MILLIS + " 4\\x0d\\x0abody\\x0d\\x0a",
        "granted 1%2F0%2Fnew\\x0d\\x0a",
        "intended 1%2F0%2Fnew yes\\x0d\\x0a",
        "intended 1%2F0%2Fnew no\\x0d\\x0a",
        "saved 1%2F0%2Fnew\\x0d\\x0a");
  }

  /**
   * Sends a coordinator each question in turn and returns a line for the question, then one for
   * each answer. After each question the coordinator's end sends an end marker, which arrives only
   * if the question was understood.
   */
  static List<String> exchange(Path socket, List<String> questions) throws Exception {
    RequestCoordinator coordinator = coordinator();
    List<String> lines = new ArrayList<>();
    PeerLink.MessageHandler handler =
        (link, message, detail) -> {
          if (message == Message.TAKEOVER_REQUEST) {
            coordinator.peer().joinPeer(link, 0);
          }
          if (message != Message.LINK_LOST) {
            link.sendRelease("9/0/last");
          }
        };
    try (ServerSocketChannel server = PeerLink.listen(socket, coordinator.peer(), handler);
        SocketChannel other = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
      write(other, "take n2 over 1-2\\x0d\\x0a");
      readToEndMarker(other);
      for (String question : questions) {
        lines.add("> " + question);
        write(other, question);
        write(other, "taken\\x0d\\x0a");
        for (String answer : messages(readToEndMarker(other))) {
          // The remaining time of a key depends on the moment.
          lines.add("< " + answer.replaceFirst("^(key \\S+ \\S+ [0-9]+) [0-9]+ ", "$1 MS "));
        }
      }
    }
    return lines;
  }

  static RequestCoordinator coordinator() {
    RequestCoordinator coordinator =
        new RequestCoordinator(
            settings(),
            7,
            64,
            KeyMemoryBudget.of(1 << 20),
            AdmissionController::new,
            new Counters(List.of("read", "keyed")));
    coordinator.start(new SilentPool(), null, good -> {});
    coordinator.workerPoolStarted(false, 100);
    return coordinator;
  }

  private static AdmissionSettings settings() {
    Admission.RequestClass read =
        new Admission.RequestClass(
            "read", 2, 0, 6, 1, 0, Admission.Idempotency.IDEMPOTENT, 12, false, 0);
    Admission.RequestClass keyed =
        new Admission.RequestClass(
            "keyed", 2, 0, 3, 3, 0, Admission.Idempotency.IDEMPOTENCY_KEY, 12, false, 0);
    return new AdmissionSettings(
        List.of(read, keyed),
        List.of(),
        new AdmissionSettings.Fleet(1, 3, true, false, true),
        new AdmissionSettings.Capacity(2, 100_000, 4, 10, Admission.Preemption.DROP, 6, 2),
        new AdmissionSettings.WarmUp(false, 0.25, 10),
        new AdmissionSettings.DependencyCalls(Admission.Dependency.NONE, 0, 5, 0.2),
        new AdmissionSettings.Timing(0.004, 0.08, 2, 0),
        new AdmissionSettings.Retries(1, false),
        new AdmissionSettings.Weighting(false, 1),
        List.of());
  }

  static void write(SocketChannel to, String escaped) throws IOException {
    ByteBuffer bytes = ByteBuffer.wrap(unescape(escaped));
    while (bytes.hasRemaining()) {
      to.write(bytes);
    }
  }

  /** Reads up to the end marker, which is left out. */
  private static byte[] readToEndMarker(SocketChannel from) throws IOException {
    byte[] marker = END_MARKER.replace("/", "%2F").getBytes(StandardCharsets.ISO_8859_1);
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    long end = System.nanoTime() + ANSWER_TIMEOUT_MS * 1_000_000L;
    from.configureBlocking(false);
    try {
      while (System.nanoTime() < end) {
        ByteBuffer some = ByteBuffer.allocate(1);
        int read = from.read(some);
        if (read < 0) {
          break;
        }
        if (read == 0) {
          Thread.onSpinWait();
          continue;
        }
        all.write(some.get(0));
        byte[] bytes = all.toByteArray();
        if (endsWith(bytes, marker)) {
          return Arrays.copyOf(bytes, bytes.length - marker.length);
        }
      }
    } finally {
      from.configureBlocking(true);
    }
    throw new IOException(
        "no end marker within the timeout; received: " + escape(all.toByteArray()));
  }

  private static boolean endsWith(byte[] bytes, byte[] end) {
    return bytes.length >= end.length
        && Arrays.equals(bytes, bytes.length - end.length, bytes.length, end, 0, end.length);
  }

  /** One line for each message: its first line with the bodies that it announces. */
  private static List<String> messages(byte[] bytes) {
    List<String> all = new ArrayList<>();
    for (int at = 0; at < bytes.length; ) {
      int next = lineEnd(bytes, at);
      String[] fields =
          new String(bytes, at, next - at - 2, StandardCharsets.ISO_8859_1).split(" ", -1);
      for (int length : bodies(fields)) {
        next += length + 2;
      }
      all.add(escape(Arrays.copyOfRange(bytes, at, next)));
      at = next;
    }
    return all;
  }

  private static int lineEnd(byte[] bytes, int from) {
    int at = from;
    while (bytes[at] != '\n') {
      at++;
    }
    return at + 1;
  }

  private static List<Integer> bodies(String... fields) {
    List<String> lengths =
        switch (fields[0]) {
          case "who", "terms" -> List.of(fields[1]);
          case "claim", "intend" -> List.of(fields[3]);
          case "key" -> List.of(fields[5], fields[6]);
          case "over" -> List.of(fields[6]);
          case "ended" -> List.of(fields[2]);
          default -> List.of();
        };
    return lengths.stream().filter(length -> !length.equals("-")).map(Integer::valueOf).toList();
  }

  static String escape(byte[] bytes) {
    StringBuilder text = new StringBuilder();
    for (byte each : bytes) {
      if (each >= ' ' && each < 127 && each != '\\') {
        text.append((char) each);
      } else {
        text.append(String.format("\\x%02x", each));
      }
    }
    return text.toString();
  }

  static byte[] unescape(String text) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int at = 0; at < text.length(); at++) {
      if (text.charAt(at) == '\\') {
        bytes.write(Integer.parseInt(text.substring(at + 2, at + 4), 16));
        at += 3;
      } else {
        bytes.write(text.charAt(at));
      }
    }
    return bytes.toByteArray();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
