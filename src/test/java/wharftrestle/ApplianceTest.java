package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snmp4j.CommunityTarget;
import org.snmp4j.PDU;
import org.snmp4j.Snmp;
import org.snmp4j.mp.SnmpConstants;
import org.snmp4j.smi.OID;
import org.snmp4j.smi.OctetString;
import org.snmp4j.smi.SMIConstants;
import org.snmp4j.smi.UdpAddress;
import org.snmp4j.smi.Variable;
import org.snmp4j.smi.VariableBinding;
import org.snmp4j.transport.DefaultUdpTransportMapping;
import wharftrestle.Loopback.Caller;
import wharftrestle.admin.AdminConsole;
import wharftrestle.config.DaemonConfig;
import wharftrestle.daemon.ClassDataTrainingRun;
import wharftrestle.daemon.Lifecycle;

/** Tests of the operators' interfaces: console, admin endpoint, SNMP agent and start script. */
class ApplianceTest {
  @TempDir private Path folder;

  private static Loopback site() throws Exception {
    return new Loopback(
        Sites.site(), new DaemonConfig.Appliance(null, Loopback.any(), Loopback.any(), "desk", 24));
  }

  private static String console(InetSocketAddress address, String input, String command)
      throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrintStream print = new PrintStream(out, true, StandardCharsets.UTF_8);
    int code =
        new AdminConsole(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), print, print)
            .attach(address, command);
    return code + "\n" + out.toString(StandardCharsets.UTF_8);
  }

  private static void serveOneRequest(Loopback site) throws Exception {
    try (Caller caller = site.new Caller()) {
      caller.ask(1, "read", null, "x");
      site.finish(site.command().ref(), "good", 1, "fine");
      caller.reply();
    }
  }

  @Test
  void startScriptSizesTheHeapFromTheMemoryLimit() throws Exception {
    Path java = Files.writeString(folder.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
    assertTrue(java.toFile().setExecutable(true));
    String multiLineConfig =
        "{\"limits\": {\"cores\": 0.5,\n \"memory_mb\" : 64, \"sockets\":256}}";
    assertTrue(startedCommand(multiLineConfig).contains(" -Xmx19m "));
    assertTrue(startedCommand("{\"limits\":{\"memory_mb\":32}}").contains(" -Xmx16m "));
    assertTrue(startedCommand("{\"limits\":{\"memory_mb\":192.0}}").contains(" -Xmx40m "));
    assertTrue(
        startedCommand("no configuration").endsWith(" serve --help"),
        "the program itself reports the configuration error");
  }

  /** Returns the command line that deploy/run.sh starts. */
  private String startedCommand(String config) throws Exception {
    ProcessBuilder builder = new ProcessBuilder("sh", "deploy/run.sh", "--help");
    builder.environment().put("PATH", folder + ":" + builder.environment().get("PATH"));
    builder
        .environment()
        .put("EDGE_CONFIG", Files.writeString(folder.resolve("config"), config).toString());
    Process process = builder.start();
    String line =
        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
    assertEquals(0, process.waitFor());
    return line;
  }

  @Test
  void consoleShowsTheStateAndDrainsTheDaemon() throws Exception {
    try (Loopback site = site()) {
      serveOneRequest(site);
      InetSocketAddress control = site.life.adminAddress();
      String output = console(control, "help\nstatus\nnonsense\nquit\n", null);
      assertTrue(output.startsWith("0\n"), output);
      for (String part :
          new String[] {
            "drain",
            "state         serving",
            "worker pool   linked",
            "health        good",
            "no such command"
          }) {
        assertTrue(output.contains(part), part + " in " + output);
      }
      assertTrue(console(control, "", "counters").matches("(?s).* 1  answered: served\\R.*"));
      assertEquals("0\nyes\n", console(control, "", "ready"));
      assertTrue(console(control, "", "vars").contains("daemon.results.read.succeeded:1|c\n"));
      assertEquals("0\nlame duck on\n", console(control, "", "lameduck on"));
      assertTrue(console(control, "", "drain").contains("leaving"));
      site.life.serveUntilStopped(); // returns only after the drain command
      assertEquals(Lifecycle.State.STOPPED, site.life.state());
      assertEquals("1\nno: stopped\n", console(control, "", "ready"));
      assertEquals("1\nthe daemon is stopped\n", console(control, "", "lameduck off"));
    }
    try (ServerSocket closedPort = new ServerSocket(0)) {
      InetSocketAddress unusedAddress =
          new InetSocketAddress(
              InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), closedPort.getLocalPort());
      closedPort.close();
      assertTrue(console(unusedAddress, "", "status").startsWith("1\nwharftrestle: console at "));
    }
  }

  @Test
  void incompleteHttpRequestsDelayNoOtherAndInvalidOnesGetTheHttpStatus() throws Exception {
    try (Loopback site = site()) {
      List<Socket> incomplete = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        Socket socket = new Socket();
        incomplete.add(socket);
        socket.connect(site.life.adminAddress());
        socket.setSoTimeout(2000);
        // No bytes, or half of a request.
        socket.getOutputStream().write("GET /_rea".getBytes(StandardCharsets.UTF_8), 0, i % 2 * 9);
      }
      long startedAt = System.nanoTime();
      assertTrue(site.get("/_ready").startsWith("HTTP/1.1 200 OK\r\n"));
      assertTrue(
          System.nanoTime() - startedAt < 600_000_000L,
          "answered before the incomplete requests time out");
      assertTrue(Loopback.response(incomplete.get(39)).startsWith("HTTP/1.1 408 "));
      assertTrue(
          System.nanoTime() - startedAt < 1_500_000_000L, "the incomplete requests time out");
      for (Socket each : incomplete) {
        each.close();
      }
      Map<String, String> wrong =
          Map.of(
              "GET /none HTTP/1.1\r\n\r\n",
              "404",
              "GET /_lameduck/on HTTP/1.1\r\n\r\n",
              "405",
              "POST /_ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
              "405",
              "nonsense\r\n\r\n",
              "400",
              "GET /_ready HTTP/3.0\r\n\r\n",
              "505",
              "POST /_lameduck/on HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
              "400",
              "POST /_lameduck/on HTTP/1.1\r\nContent-Length: 9999\r\n\r\n",
              "413",
              "GET /" + "x".repeat(2000),
              "400",
              "GET /_ready HTTP/1.1\r\nX: y\nZ\r\n\r\n",
              "400");
      for (Map.Entry<String, String> call : wrong.entrySet()) {
        assertTrue(
            site.call(call.getKey()).startsWith("HTTP/1.1 " + call.getValue() + " "),
            call.getKey());
      }
      assertTrue(site.life.healthy(), "no invalid request switched on lame duck");
    }
  }

  /** Returns the metrics of the admin endpoint by name. */
  private static Map<String, Integer> metrics(Loopback site) throws Exception {
    Map<String, Integer> metrics = new TreeMap<>();
    site.get("/_vars")
        .lines()
        .filter(line -> line.startsWith("daemon."))
        .forEach(
            line ->
                metrics.put(
                    line.replaceAll("^daemon\\.|:.*", ""),
                    Integer.valueOf(line.replaceAll(".*:|\\|[cg]$", ""))));
    return metrics;
  }

  @Test
  void eachRequestIsCountedOnceWhateverItsOutcome() throws Exception {
    try (Loopback site = site();
        Caller caller = site.new Caller();
        Caller other = site.new Caller()) {
      Map<String, Integer> seen = metrics(site);
      assertEquals(17, seen.size(), "all classes from the start: " + seen);
      assertTrue(seen.values().stream().allMatch(count -> count == 0), seen.toString());
      caller.ask(1, "keyed", "k", "x");
      String reference = site.command().ref();
      other.ask(2, "keyed", "k", "x"); // attaches to the first
      other.send("STATUS", "3", "");
      other.reply();
      assertEquals(2, metrics(site).get("outstanding"));
      site.finish(reference, "good", 1, "fine");
      caller.reply();
      other.reply();
      caller.ask(4, "keyed", "k", "y"); // another body for the key: fails
      caller.reply();
      caller.ask(5, "read", null, "x");
      site.finish(site.command().ref(), "bad", 1, "");
      caller.reply();
      caller.ask(6, "read", null, "x");
      site.command();
      caller.send("NEVERMIND", "6"); // cancelled: no answer, not counted, not outstanding
      assertEquals("suspend", site.command().verb());
      seen = metrics(site);
      assertEquals(
          List.of(2, 0, 1, 0, 1, 3, 0),
          List.of(
              seen.get("results.keyed.succeeded"),
              seen.get("results.keyed.declined"),
              seen.get("results.keyed.aborted"),
              seen.get("results.read.succeeded"),
              seen.get("results.read.aborted"),
              seen.get("forwards"),
              seen.get("outstanding")),
          seen.toString());
    }
  }

  @Test
  void lameDuckReportsUnhealthyKeepsServingAndCanBeSwitchedOff() throws Exception {
    try (Loopback site =
            new Loopback(
                Sites.site(), new DaemonConfig.Appliance(Loopback.any(), null, null, "x", 24));
        Caller caller = site.new Caller();
        Caller check = site.new Caller()) {
      for (int i = 1; i <= 2; i++) { // the switch is idempotent
        assertTrue(site.post("/_lameduck/on").startsWith("HTTP/1.1 200 "));
        check.send("STATUS", Integer.toString(i), "");
        assertEquals("sick", check.reply().word());
      }
      assertTrue(Loopback.response(site.post("/health", "", "")).startsWith("HTTP/1.1 503 "));
      for (String report = site.report(); !report.equals("renew n1 no"); report = site.report()) {
        assertEquals("renew n1 yes", report);
      }
      caller.ask(1, "read", null, "x"); // requests are served as usual
      site.finish(site.command().ref(), "good", 1, "fine");
      assertEquals("fine", caller.reply().body());
      assertTrue(site.post("/_lameduck/off").startsWith("HTTP/1.1 200 "));
      check.send("STATUS", "3", "");
      assertEquals("healthy", check.reply().word());
      for (String report = site.report(); !report.equals("renew n1 yes"); report = site.report()) {
        assertEquals("renew n1 no", report);
      }
      site.post("/_lameduck/on"); // lame duck changes nothing about a graceful shutdown
      caller.ask(2, "read", null, "x");
      String reference = site.command().ref();
      site.life.leave();
      var unused =
          site.cores.schedule(
              () -> {
                site.finish(reference, "good", 1, "in time");
                return null;
              },
              100,
              java.util.concurrent.TimeUnit.MILLISECONDS);
      site.life.serveUntilStopped();
      assertEquals("in time", caller.reply().body());
      assertEquals(Lifecycle.State.STOPPED, site.life.state());
    }
  }

  private static PDU ask(
      Snmp manager, InetSocketAddress agent, String community, int type, OID... oids)
      throws Exception {
    PDU request = new PDU();
    request.setType(type);
    if (type == PDU.GETBULK) {
      request.setMaxRepetitions(10);
    }
    for (OID oid : oids) {
      request.add(
          type == PDU.SET
              ? new VariableBinding(oid, new OctetString("x"))
              : new VariableBinding(oid));
    }
    CommunityTarget<UdpAddress> target =
        new CommunityTarget<>(
            new UdpAddress(agent.getAddress(), agent.getPort()), new OctetString(community));
    target.setVersion(SnmpConstants.version2c);
    target.setTimeout(community.equals("desk") ? 5000 : 200);
    return manager.send(request, target).getResponse();
  }

  private static Map<OID, Variable> walk(Snmp manager, InetSocketAddress agent, int type, OID root)
      throws Exception {
    Map<OID, Variable> seen = new TreeMap<>();
    for (OID at = root; ; ) {
      for (VariableBinding next : ask(manager, agent, "desk", type, at).getVariableBindings()) {
        if (next.isException() || !next.getOid().startsWith(root)) {
          return seen;
        }
        assertTrue(next.getOid().compareTo(at) > 0, "object identifiers of a walk must increase");
        at = next.getOid();
        seen.put(at, next.getVariable());
      }
    }
  }

  /** Returns the object identifier and syntax of each readable object of the MIB file. */
  private static Map<OID, String> mibObjects() throws Exception {
    String mib = Files.readString(Path.of("mib/WHARFTRESTLE-MIB.txt"));
    Map<String, OID> identifiers =
        new LinkedHashMap<>(Map.of("experimental", new OID("1.3.6.1.3")));
    Map<OID, String> objects = new TreeMap<>();
    Matcher all =
        Pattern.compile(
                "^(\\w+) +(MODULE-IDENTITY|OBJECT IDENTIFIER|OBJECT-TYPE)(?:\\s+SYNTAX\\s+"
                    + "(\\w+))?.*?::= \\{ (\\w+) (\\d+) }",
                Pattern.MULTILINE | Pattern.DOTALL)
            .matcher(mib);
    while (all.find()) {
      OID identifier = new OID(identifiers.get(all.group(4)).toString() + "." + all.group(5));
      identifiers.put(all.group(1), identifier);
      if (identifier.startsWith(new OID("1.3.6.1.3.29421.1.3.1"))) {
        for (int row = 1; all.group(3) != null && identifier.last() > 1 && row <= 5; row++) {
          // One row for each request class.
          objects.put(new OID(identifier + "." + row), all.group(3));
        }
      } else if (all.group(3) != null && !all.group(3).matches("SEQUENCE|Wt\\w+")) {
        objects.put(new OID(identifier + ".0"), all.group(3));
      }
    }
    return objects;
  }

  private static String syntax(Variable value) {
    return switch (value.getSyntax()) {
      case SMIConstants.SYNTAX_COUNTER64 -> "Counter64";
      case SMIConstants.SYNTAX_GAUGE32 -> "Gauge32";
      case SMIConstants.SYNTAX_TIMETICKS -> "TimeTicks";
      case SMIConstants.SYNTAX_INTEGER -> "INTEGER";
      default -> value.getSyntaxString();
    };
  }

  @Test
  void snmpWalkFindsExactlyTheObjectsOfTheMib() throws Exception {
    try (Loopback site = site();
        DefaultUdpTransportMapping udp = new DefaultUdpTransportMapping();
        Snmp manager = new Snmp(udp)) {
      manager.listen();
      serveOneRequest(site);
      InetSocketAddress agent = site.life.snmpAddress();
      OID root = new OID("1.3.6.1.3.29421");
      Map<OID, Variable> walkedObjects = walk(manager, agent, PDU.GETNEXT, root);
      Map<OID, String> mibObjects = mibObjects();
      assertEquals(List.copyOf(mibObjects.keySet()), List.copyOf(walkedObjects.keySet()));
      List<String> wrong = new ArrayList<>();
      mibObjects.forEach(
          (oid, type) -> {
            String expected =
                type.equals("TruthValue")
                    ? "INTEGER"
                    : type.equals("DisplayString") ? "OCTET STRING" : type;
            if (!expected.equals(syntax(walkedObjects.get(oid)))) {
              wrong.add(oid + " " + type + " " + syntax(walkedObjects.get(oid)));
            }
          });
      assertEquals(List.of(), wrong);
      assertEquals(walkedObjects.keySet(), walk(manager, agent, PDU.GETBULK, root).keySet());
      assertEquals("n1", walkedObjects.get(new OID(root + ".1.1.1.0")).toString());
      assertEquals(2, walkedObjects.get(new OID(root + ".1.1.2.0")).toInt(), "serving");
      assertEquals(1, walkedObjects.get(new OID(root + ".1.2.2.0")).toLong(), "one request served");
      assertEquals("read", walkedObjects.get(new OID(root + ".1.3.1.2.1")).toString());
      assertEquals(1, walkedObjects.get(new OID(root + ".1.3.1.3.1")).toLong(), "one of its class");
      assertEquals(
          PDU.notWritable,
          ask(manager, agent, "desk", PDU.SET, new OID(root + ".1.1.1.0")).getErrorStatus());
      assertEquals(null, ask(manager, agent, "guess", PDU.GET, new OID(root + ".1.1.1.0")));
      assertTrue(
          ask(manager, agent, "desk", PDU.GET, new OID("1.3.6.1.2.1.1.1.0"))
              .get(0)
              .getVariable()
              .toString()
              .startsWith("wharftrestle"));
    }
  }

  @Test
  void classDataTrainingRunOfTheBuildCompletes() throws Exception {
    ClassDataTrainingRun.run(); // throws if one of its requests has no answer
    assertTrue(
        Files.readString(Path.of("deploy/balancer.toml"))
            .lines()
            .filter(line -> line.startsWith("build"))
            .allMatch(line -> line.contains("ArchiveClassesAtExit") && line.contains("rehearse")));
  }
}
