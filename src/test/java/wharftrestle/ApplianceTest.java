package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
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
import wharftrestle.net.Config;
import wharftrestle.ops.Console;

/** Stories of the operator: the console, the SNMP agent, and the file that turns them on. */
class ApplianceTest {
    @TempDir
    private Path folder;

    private static Loopback site() throws Exception {
        return new Loopback(Sites.site(),
                new Config.Appliance(null, Loopback.any(), Loopback.any(), "desk", 24));
    }

    private static String console(InetSocketAddress address, String typed, String command) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream print = new PrintStream(out, true, "UTF-8");
        int code = new Console(new ByteArrayInputStream(typed.getBytes("UTF-8")), print, print)
                .attach(address, command);
        return code + "\n" + out.toString("UTF-8");
    }

    private static void serveOne(Loopback site) throws Exception {
        try (Caller caller = site.new Caller()) {
            caller.ask(1, "read", null, "x");
            site.finish(site.command().ref(), "good", 1, "fine");
            caller.reply();
        }
    }

    @Test
    void theConsoleShowsAndDrains() throws Exception {
        try (Loopback site = site()) {
            serveOne(site);
            InetSocketAddress control = site.life.controlAddress();
            String shown = console(control, "help\nstatus\nnonsense\nquit\n", null);
            assertTrue(shown.startsWith("0\n"), shown);
            for (String part : new String[] {"drain", "state         serving", "worker pool   linked",
                "health        good", "no such command"}) {
                assertTrue(shown.contains(part), part + " in " + shown);
            }
            assertTrue(console(control, "", "counters").matches("(?s).* 1  answered: served\\R.*"));
            assertTrue(console(control, "", "drain").contains("leaving"));
            site.life.serveUntilStopped();   // would wait for ever without the notice
            assertEquals(Lifecycle.State.STOPPED, site.life.state());
        }
        try (ServerSocket gone = new ServerSocket(0)) {
            InetSocketAddress nobody = new InetSocketAddress("127.0.0.1", gone.getLocalPort());
            gone.close();
            assertTrue(console(nobody, "", "status").startsWith("1\nwharftrestle: control at "));
        }
    }

    private static PDU ask(Snmp manager, InetSocketAddress agent, String community, int type, OID... oids)
            throws Exception {
        PDU request = new PDU();
        request.setType(type);
        if (type == PDU.GETBULK) {
            request.setMaxRepetitions(10);
        }
        for (OID oid : oids) {
            request.add(type == PDU.SET ? new VariableBinding(oid, new OctetString("x")) : new VariableBinding(oid));
        }
        CommunityTarget<UdpAddress> target = new CommunityTarget<>(
                new UdpAddress(agent.getAddress(), agent.getPort()), new OctetString(community));
        target.setVersion(SnmpConstants.version2c);
        target.setTimeout(community.equals("desk") ? 5000 : 200);
        return manager.send(request, target).getResponse();
    }

    private static Map<OID, Variable> walk(Snmp manager, InetSocketAddress agent, int type, OID root)
            throws Exception {
        Map<OID, Variable> seen = new TreeMap<>();
        for (OID at = root;;) {
            for (VariableBinding next : ask(manager, agent, "desk", type, at).getVariableBindings()) {
                if (next.isException() || !next.getOid().startsWith(root)) {
                    return seen;
                }
                assertTrue(next.getOid().compareTo(at) > 0, "a walk goes on");
                at = next.getOid();
                seen.put(at, next.getVariable());
            }
        }
    }

    /** The readable objects of the MIB file: their place and syntax. */
    private static Map<OID, String> described() throws Exception {
        String mib = Files.readString(Path.of("mib/WHARFTRESTLE-MIB.txt"));
        Map<String, OID> places = new LinkedHashMap<>(Map.of("experimental", new OID("1.3.6.1.3")));
        Map<OID, String> objects = new TreeMap<>();
        Matcher all = Pattern.compile("^(\\w+) +(MODULE-IDENTITY|OBJECT IDENTIFIER|OBJECT-TYPE)(?:\\s+SYNTAX\\s+"
                + "(\\w+))?.*?::= \\{ (\\w+) (\\d+) }", Pattern.MULTILINE | Pattern.DOTALL).matcher(mib);
        while (all.find()) {
            OID place = new OID(places.get(all.group(4)).toString() + "." + all.group(5));
            places.put(all.group(1), place);
            if (all.group(3) != null) {
                objects.put(new OID(place + ".0"), all.group(3));
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
    void aWalkFindsWhatTheMibDescribes() throws Exception {
        try (Loopback site = site(); DefaultUdpTransportMapping udp = new DefaultUdpTransportMapping();
                Snmp manager = new Snmp(udp)) {
            manager.listen();
            serveOne(site);
            InetSocketAddress agent = site.life.snmpAddress();
            OID root = new OID("1.3.6.1.3.29421");
            Map<OID, Variable> walked = walk(manager, agent, PDU.GETNEXT, root);
            Map<OID, String> described = described();
            assertEquals(List.copyOf(described.keySet()), List.copyOf(walked.keySet()));
            List<String> wrong = new ArrayList<>();
            described.forEach((oid, type) -> {
                String known = type.equals("TruthValue") ? "INTEGER"
                        : type.equals("DisplayString") ? "OCTET STRING" : type;
                if (!known.equals(syntax(walked.get(oid)))) {
                    wrong.add(oid + " " + type + " " + syntax(walked.get(oid)));
                }
            });
            assertEquals(List.of(), wrong);
            assertEquals(walked.keySet(), walk(manager, agent, PDU.GETBULK, root).keySet());
            assertEquals("n1", walked.get(new OID(root + ".1.1.1.0")).toString());
            assertEquals(2, walked.get(new OID(root + ".1.1.2.0")).toInt(), "serving");
            assertEquals(1, walked.get(new OID(root + ".1.2.2.0")).toLong(), "one request served");
            assertEquals(PDU.notWritable, ask(manager, agent, "desk", PDU.SET, new OID(root + ".1.1.1.0"))
                    .getErrorStatus());
            assertEquals(null, ask(manager, agent, "guess", PDU.GET, new OID(root + ".1.1.1.0")));
            assertTrue(ask(manager, agent, "desk", PDU.GET, new OID("1.3.6.1.2.1.1.1.0")).get(0).getVariable()
                    .toString().startsWith("wharftrestle"));
        }
    }

    @Test
    void theFileTurnsOnWhatItNames() throws Exception {
        Config.Appliance off = Config.appliance(Path.of("deploy/appliance.properties"));
        assertEquals(new Config.Appliance(null, null, null, "public", 24), off, "all off on the platform");
        Path file = folder.resolve("appliance.properties");
        Files.writeString(file, "uwsgi.listen=127.0.0.1:3031\ncontrol.listen=[::1]:7401\nsnmp.listen=127.0.0.1:7161\n");
        Config.Appliance on = Config.appliance(file);
        assertEquals(List.of(3031, 7401, 7161),
                List.of(on.uwsgi().getPort(), on.control().getPort(), on.snmp().getPort()));
        for (String bad : new String[] {"control.listen=192.0.2.1:7401", "uwsgi.listen=somewhere",
            "uwsgi.held_kb=0", "snmp.listen=0.0.0.0:161"}) {
            Files.writeString(file, bad);
            try {
                Config.appliance(file);
                throw new AssertionError(bad + " was taken");
            } catch (Config.BadConfigException e) {
                assertEquals(1, e.getMessage().lines().count());
            }
        }
    }
}
