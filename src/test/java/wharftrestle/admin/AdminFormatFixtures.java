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
 * Records the fixtures of {@link AdminFormatTest}: the responses of every path of the admin
 * endpoint for a daemon with fixed metrics, a walk of the SNMP agent, and the names in the MIB. The
 * checked-in fixtures come from an earlier build; running this class overwrites them with the
 * responses of the current build.
 */
final class AdminFormatFixtures {
  static final Path DIRECTORY = Path.of("src/test/resources/fixtures/admin");
  static final Path ANSWERS = DIRECTORY.resolve("answers.txt");
  static final Path WALK = DIRECTORY.resolve("walk.txt");
  static final Path MIB_NAMES = DIRECTORY.resolve("mib-names.txt");
  private static final Path MIB = Path.of("mib/WHARFTRESTLE-MIB.txt");

  /** The requests in the order in which they are sent; some change the state of the daemon. */
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

  private static final int TIMEOUT_MS = 10_000;

  private AdminFormatFixtures() {}

  /** Run it from the project directory with the main and test classes on the class path. */
  public static void main(String[] arguments) throws Exception {
    Files.createDirectories(DIRECTORY);
    Files.writeString(ANSWERS, answers());
    Files.write(WALK, walk());
    Files.write(MIB_NAMES, mibNames());
    System.exit(0);
  }

  /** Returns each request with its complete response. */
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
      StringBuilder transcript = new StringBuilder();
      for (String call : CALLS) {
        transcript.append("> ").append(call).append('\n');
        send(server.address(), call)
            .lines()
            .forEach(line -> transcript.append("< ").append(line).append('\n'));
      }
      daemon.results.clear();
      transcript.append("> without kept results\n");
      for (String call : List.of("GET /_results", "GET /_status")) {
        send(server.address(), call)
            .lines()
            .filter(line -> line.startsWith("off") || line.startsWith("results"))
            .forEach(line -> transcript.append("< ").append(line).append('\n'));
      }
      return transcript.toString();
    } finally {
      server.close();
    }
  }

  private static String send(InetSocketAddress address, String call) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(TIMEOUT_MS);
      socket
          .getOutputStream()
          .write((call + " HTTP/1.1\r\nHost: n\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** Returns a line for each object served by the agent: its OID, syntax and value. */
  static List<String> walk() throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (SnmpAgent agent = new SnmpAgent(new FixedDaemon(), any, "public");
        DefaultUdpTransportMapping udp = new DefaultUdpTransportMapping();
        Snmp manager = new Snmp(udp)) {
      manager.listen();
      List<String> lines = new ArrayList<>();
      for (OID position = new OID("1.3.6.1"); ; ) {
        VariableBinding next = next(manager, agent.address(), position);
        if (next.isException()) {
          return lines;
        }
        position = next.getOid();
        lines.add(position + " " + next.getVariable().getSyntaxString() + " " + next.getVariable());
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
    target.setTimeout(TIMEOUT_MS);
    PDU response = manager.send(request, target).getResponse();
    if (response == null) {
      throw new IOException("no response from the SNMP agent for the object after " + after);
    }
    return response.get(0);
  }

  /** Returns a line for each name in the MIB, in file order: OID, name, kind and syntax. */
  static List<String> mibNames() throws IOException {
    Map<String, OID> oids = new LinkedHashMap<>(Map.of("experimental", new OID("1.3.6.1.3")));
    List<String> lines = new ArrayList<>();
    Matcher definitions =
        Pattern.compile(
                "^(\\w+) +(MODULE-IDENTITY|OBJECT IDENTIFIER|OBJECT-TYPE|OBJECT-GROUP"
                    + "|MODULE-COMPLIANCE)(?:\\s+SYNTAX\\s+(\\w+))?.*?::= \\{ (\\w+) (\\d+) }",
                Pattern.MULTILINE | Pattern.DOTALL)
            .matcher(Files.readString(MIB));
    while (definitions.find()) {
      OID oid = new OID(oids.get(definitions.group(4)) + "." + definitions.group(5));
      oids.put(definitions.group(1), oid);
      lines.add(
          oid
              + " "
              + definitions.group(1)
              + " "
              + definitions.group(2)
              + (definitions.group(3) == null ? "" : " " + definitions.group(3)));
    }
    return lines;
  }

  /** A daemon with fixed metrics, in which every counter has a different value. */
  private static final class FixedDaemon implements AdminServer.Daemon {
    private final Map<ResultMetric, Long> results = new EnumMap<>(ResultMetric.class);
    private final Counters counters = new Counters(List.of("read", "save all"));
    private RolloutStatus rolloutStatus = RolloutStatus.NONE;
    private boolean draining;

    @SuppressWarnings("EnumOrdinal") // a different value for each metric, in the order of the MIB
    FixedDaemon() {
      for (ResultMetric metric : ResultMetric.values()) {
        results.put(metric, metric == ResultMetric.STATE ? 2 : 1000L * (metric.ordinal() + 1) + 1);
      }
      for (Counters.Count count : Counters.Count.values()) {
        for (int i = 0; i < 100 * (count.ordinal() + 1); i++) {
          counters.add(count);
        }
      }
      for (int i = 0; i < 20; i++) {
        counters.requestReceived();
      }
      recordResults(0, Counters.Result.SERVED, 5);
      recordResults(0, Counters.Result.REJECTED, 1);
      recordResults(1, Counters.Result.SERVED, 2);
      recordResults(1, Counters.Result.FAILED, 3);
      counters.servedAfterObjective(1);
      counters.updateKeyUsage(new Counters.KeyUsage(11, 1200, 13 << 10, 14 << 20));
    }

    private void recordResults(int classIndex, Counters.Result result, int times) {
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
      return draining ? "leaving" : "serving";
    }

    @Override
    public int phaseNumber() {
      return 2;
    }

    @Override
    public boolean ready() {
      return !draining;
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
      return rolloutStatus;
    }

    @Override
    public void fleet(RolloutStatus status) {
      rolloutStatus = status;
    }

    @Override
    public boolean lameDuck(boolean on) {
      return !draining;
    }

    @Override
    public void leave() {
      draining = true;
    }
  }
}
