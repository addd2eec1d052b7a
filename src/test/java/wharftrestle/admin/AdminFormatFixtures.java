package wharftrestle.admin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.snmp4j.CommunityTarget;
import org.snmp4j.PDU;
import org.snmp4j.Snmp;
import org.snmp4j.mp.SnmpConstants;
import org.snmp4j.smi.OID;
import org.snmp4j.smi.OctetString;
import org.snmp4j.smi.UdpAddress;
import org.snmp4j.smi.VariableBinding;
import org.snmp4j.transport.DefaultUdpTransportMapping;
import wharftrestle.admission.Admission;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.ResultMetric;
import wharftrestle.snmp.SnmpAgent;
import wharftrestle.transport.Server;
import wharftrestle.version.Version;
import wharftrestle.version.VersionRange;

/**
 * Writes what the operators' tools were answered, which {@link AdminFormatTest} reads: every path
 * of the admin port for a daemon that never changes by itself, a walk of the SNMP agent, and the
 * names in the MIB. It was run once; running it again records whatever the present build answers.
 */
final class AdminFormatFixtures {
  static final Path FOLDER = Path.of("src/test/resources/fixtures/admin");
  static final Path ANSWERS = FOLDER.resolve("answers.txt");
  static final Path WALK = FOLDER.resolve("walk.txt");
  static final Path MIB_NAMES = FOLDER.resolve("mib-names.txt");
  private static final Path MIB = Path.of("mib/WHARFTRESTLE-MIB.txt");

  /** In the order of a tour: what is asked, and of a daemon with or without kept results. */
  private static final List<String> CALLS =
      List.of(
          "GET /_ready",
          "GET /_vars",
          "GET /_status",
          "GET /_version",
          "GET /_results",
          "GET /_counters",
          "GET /_figures",
          "HEAD /_figures",
          "POST /_fleet?epoch=4&stage=2&verdict=cannot-tell",
          "POST /_fleet?epoch=4",
          "GET /_status",
          "POST /_lameduck/on",
          "POST /_lameduck/off",
          "POST /_drain",
          "GET /_ready",
          "POST /_lameduck/on",
          "GET /_drain",
          "POST /_vars",
          "GET /vars");

  private static final int ANSWER_MS = 10_000;

  private AdminFormatFixtures() {}

  /** Run from the project's folder; needs the classes of the tests and of the program. */
  public static void main(String[] arguments) throws Exception {
    Files.createDirectories(FOLDER);
    Files.writeString(ANSWERS, answers());
    Files.write(WALK, walk());
    Files.write(MIB_NAMES, mibNames());
    System.exit(0);
  }

  /** Each call with its whole answer. */
  static String answers() throws IOException {
    FixedDaemon daemon = new FixedDaemon();
    Server server =
        new Server(
            "admin",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            8,
            8,
            new AdminServer(daemon),
            new Counters(List.of()));
    try {
      server.listen(false, true);
      server.start();
      StringBuilder all = new StringBuilder();
      for (String call : CALLS) {
        all.append("> ").append(call).append('\n');
        ask(server.address(), call)
            .lines()
            .forEach(line -> all.append("< ").append(line).append('\n'));
      }
      daemon.results.clear();
      all.append("> without kept results\n");
      for (String call : List.of("GET /_results", "GET /_status")) {
        ask(server.address(), call)
            .lines()
            .filter(line -> line.startsWith("off") || line.startsWith("results"))
            .forEach(line -> all.append("< ").append(line).append('\n'));
      }
      return all.toString();
    } finally {
      server.close();
    }
  }

  private static String ask(InetSocketAddress at, String call) throws IOException {
    try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
      socket.setSoTimeout(ANSWER_MS);
      socket
          .getOutputStream()
          .write((call + " HTTP/1.1\r\nHost: n\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** A line an object that the agent serves: its OID, its syntax and its value. */
  static List<String> walk() throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (SnmpAgent agent = new SnmpAgent(new FixedDaemon(), any, "public");
        DefaultUdpTransportMapping udp = new DefaultUdpTransportMapping();
        Snmp manager = new Snmp(udp)) {
      manager.listen();
      List<String> lines = new ArrayList<>();
      for (OID at = new OID("1.3.6.1"); ; ) {
        VariableBinding next = next(manager, agent.address(), at);
        if (next.isException()) {
          return lines;
        }
        at = next.getOid();
        lines.add(at + " " + next.getVariable().getSyntaxString() + " " + next.getVariable());
      }
    }
  }

  private static VariableBinding next(Snmp manager, InetSocketAddress agent, OID after)
      throws IOException {
    PDU request = new PDU();
    request.setType(PDU.GETNEXT);
    request.add(new VariableBinding(after));
    CommunityTarget<UdpAddress> target =
        new CommunityTarget<>(
            new UdpAddress(agent.getAddress(), agent.getPort()), new OctetString("public"));
    target.setVersion(SnmpConstants.version2c);
    target.setTimeout(ANSWER_MS);
    PDU response = manager.send(request, target).getResponse();
    if (response == null) {
      throw new IOException("the agent does not answer after " + after);
    }
    return response.get(0);
  }

  /** A line a name of the MIB, in its order: OID, name, kind and syntax. */
  static List<String> mibNames() throws IOException {
    Map<String, OID> places = new LinkedHashMap<>(Map.of("experimental", new OID("1.3.6.1.3")));
    List<String> lines = new ArrayList<>();
    Matcher all =
        Pattern.compile(
                "^(\\w+) +(MODULE-IDENTITY|OBJECT IDENTIFIER|OBJECT-TYPE|OBJECT-GROUP"
                    + "|MODULE-COMPLIANCE)(?:\\s+SYNTAX\\s+(\\w+))?.*?::= \\{ (\\w+) (\\d+) }",
                Pattern.MULTILINE | Pattern.DOTALL)
            .matcher(Files.readString(MIB));
    while (all.find()) {
      OID place = new OID(places.get(all.group(4)) + "." + all.group(5));
      places.put(all.group(1), place);
      lines.add(
          place
              + " "
              + all.group(1)
              + " "
              + all.group(2)
              + (all.group(3) == null ? "" : " " + all.group(3)));
    }
    return lines;
  }

  /** A daemon that never changes by itself, each of whose counts is another. */
  private static final class FixedDaemon implements AdminServer.Daemon {
    private final Map<ResultMetric, Long> results = new EnumMap<>(ResultMetric.class);
    private final Counters counters = new Counters(List.of("read", "save all"));
    private RolloutStatus stand = RolloutStatus.NONE;
    private boolean leaving;

    @SuppressWarnings("EnumOrdinal") // a value that differs by figure, in the order of the MIB
    FixedDaemon() {
      for (ResultMetric figure : ResultMetric.values()) {
        results.put(figure, figure == ResultMetric.STATE ? 2 : 1000L * (figure.ordinal() + 1) + 1);
      }
      for (Counters.Count count : Counters.Count.values()) {
        for (int i = 0; i < 100 * (count.ordinal() + 1); i++) {
          counters.add(count);
        }
      }
      for (int i = 0; i < 20; i++) {
        counters.requestReceived();
      }
      answered(0, Counters.Result.SERVED, 5);
      answered(0, Counters.Result.REJECTED, 1);
      answered(1, Counters.Result.SERVED, 2);
      answered(1, Counters.Result.FAILED, 3);
      counters.servedAfterObjective(1);
      counters.updateKeyUsage(new Counters.KeyUsage(11, 1200, 13 << 10, 14 << 20));
    }

    private void answered(int classIndex, Counters.Result result, int times) {
      for (int i = 0; i < times; i++) {
        counters.answered(classIndex, result);
      }
    }

    @Override
    public String name() {
      return "n1";
    }

    @Override
    public String phase() {
      return leaving ? "leaving" : "serving";
    }

    @Override
    public int phaseNumber() {
      return 2;
    }

    @Override
    public boolean ready() {
      return !leaving;
    }

    @Override
    public boolean linked() {
      return true;
    }

    @Override
    public boolean healthy() {
      return false;
    }

    @Override
    public double upSeconds() {
      return 1234.567;
    }

    @Override
    public Counters counters() {
      return counters;
    }

    @Override
    public Map<ResultMetric, Long> results() {
      return results;
    }

    @Override
    public Version version() {
      return new Version(
          "1.2.3",
          "0123456789abcdef0123456789abcdef01234567",
          "ab".repeat(32),
          "cd".repeat(32),
          new VersionRange(1, 2),
          new VersionRange(1, 1),
          new VersionRange(1, 3));
    }

    @Override
    public String handover() {
      return "alone";
    }

    @Override
    public List<Admission.RequestClass> classes() {
      return List.of(
          new Admission.RequestClass(
              "read", 2, 0, 6, 1, 0.5, Admission.Idempotency.IDEMPOTENT, 12, false, 0),
          new Admission.RequestClass(
              "save all", 2, 0, 3, 3, 0.25, Admission.Idempotency.IDEMPOTENCY_KEY, 12, false, 0));
    }

    @Override
    public RolloutStatus fleet() {
      return stand;
    }

    @Override
    public void fleet(RolloutStatus said) {
      stand = said;
    }

    @Override
    public boolean lameDuck(boolean on) {
      return !leaving;
    }

    @Override
    public void leave() {
      leaving = true;
    }
  }
}
