package wharftrestle.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import wharftrestle.config.DaemonConfig;

/** Evaluation of settings scripts, and the position and text of their errors. */
class SettingsTest {

  private static DaemonConfig.Appliance read(String text) throws BadSettingsException {
    return Settings.parse("a.star", text).appliance();
  }

  @Example
  void repositoryScriptDeclaresNothingAndItsExamplesAreValid() throws Exception {
    assertEquals(
        DaemonConfig.Appliance.none(), Settings.read(Path.of("deploy/appliance.star")).appliance());
    String runCommand =
        Files.readString(Path.of("deploy/balancer.toml"))
            + Files.readString(Path.of("deploy/run.sh"));
    assertFalse(runCommand.contains("--appliance"), "the platform's run command loads no script");
    String examples =
        Files.readString(Path.of("deploy/appliance.star")).replaceAll("(?m)^# (?=\\w+\\()", "");
    assertEquals(64L << 20, read(examples).durable().most(), "the commented examples are valid");
  }

  @Example
  void scriptComputesDeclaredValues() throws Exception {
    DaemonConfig.Appliance appliance =
        read(
            """
                base = 7000
                def port(n, step = 100):   # a function
                    if n < 0:
                        fail("negative")
                    elif n == 0:
                        return base
                    else:
                        return base + n * step
                names = {"door": 4, "agent": 1}
                total = 0
                for name, extra in [["door", 1], ["agent", 61]]:
                    if name not in names: continue
                    total = total + extra
                control(listen = "127.0.0.1:" + str(port(names["door"], step = 100) + 1))
                snmp(listen = "127.0.0.1:%s" if False else "[::1]:" + str(port(1) + 61),
                     community = "desk" * 2)
                sizes = [n * n for n in range(1, 10) if n % 2 == 0]
                durable(dir = "/tmp/x", max_mb = max(sizes) * 2, max_keys = total + 1000 // 3 - 1 * 2, patience_ms = 250)
                """);
    assertEquals(7401, appliance.control().getPort());
    assertEquals(7161, appliance.snmp().getPort());
    assertEquals("deskdesk", appliance.community());
    assertEquals(128L << 20, appliance.durable().most());
    assertEquals(62 + 333 - 2, appliance.durable().keys());
    assertEquals(0.25, appliance.durable().patience());
    assertEquals("group", appliance.durable().sync());
  }

  /** Invalid scripts, each with its error message after the file name. */
  private static final String[][] INVALID_SCRIPTS = {
    {"uwsgi()", "1:1: uwsgi needs listen: an address as \"HOST:PORT\", with a numeric host"},
    {
      "uwsgi(listen = \"somewhere\")",
      "1:16: uwsgi.listen: expected an address as \"HOST:PORT\", with a numeric host, "
          + "got \"somewhere\""
    },
    {
      "control(listen = \"192.0.2.1:7401\")",
      "1:18: control.listen: expected a loopback address as \"HOST:PORT\", "
          + "with a numeric host, got \"192.0.2.1:7401\""
    },
    {
      "durable(dir = \"/x\",\n        max_mb = \"lots\")",
      "2:18: durable.max_mb: expected a whole number from 4 to " + "65536, got \"lots\""
    },
    {
      "durable(dir = \"/x\", max_mb = 1.5)",
      "1:30: durable.max_mb: expected a whole number from 4 to 65536, got 1.5"
    },
    {
      "durable(dir = \"/x\", sync = \"often\")",
      "1:28: durable.sync: expected one of \"group\", \"each\", \"none\", " + "got \"often\""
    },
    {
      "durable(dir = \"/x\", size = 3)",
      "1:28: durable has no 'size', expected one of dir, max_mb, max_keys, "
          + "queue_kb, patience_ms, sync"
    },
    {"durable(\"/x\")", "1:9: durable takes arguments by name only: durable(name = value)"},
    {"durable(dir = \"a\", dir = \"b\")", "1:20: 'dir' is given twice"},
    {"\ndurable(dir = \"a\")\ndurable(dir = \"b\")", "3:1: durable is declared twice"},
    {"pool = durable", "1:8: 'durable' must be called: durable(...)"},
    {"durable = 1", "1:1: 'durable' is reserved, choose another name"},
    {"for snmp in [1]:\n  pass", "1:5: 'snmp' is reserved, choose another name"},
    {"x = y", "1:5: nothing is named 'y'"},
    {"x = f(1)", "1:5: nothing is named 'f'"},
    {"x = 1 +", "1:8: unexpected end of line"},
    {"x = [1, 2", "1:10: unexpected end of line, expected ',', ']'"},
    {"x = 1 ?", "1:7: unrecognized text: '?'"},
    {"x = \"open", "1:5: unrecognized text: '\"open'"},
    {"if True:\nx = 1", "2:1: unexpected 'x', expected an indented block"},
    {"  x = 1", "1:3: unexpected indentation"},
    {"if True:\n    x = 1\n  y = 2", "3:3: this indentation matches no block above it"},
    {"if True:\n\tx = 1", "2:1: a tab in the indentation, expected spaces"},
    {
      "def f(n):\n  return f(n - 1)\nf(3)",
      "2:10: 'f' would call itself: recursion is not supported"
    },
    {"def f(g):\n  return g(g)\nf(f)", "2:10: 'f' would call itself: recursion is not supported"},
    {"def f(a): return a\nf()", "2:1: 'f' needs 'a'"},
    {"def f(a): return a\nf(1, 2)", "2:6: 'f' takes [a]"},
    {"return 1", "1:1: 'return' outside a function"},
    {"break", "1:1: 'break' outside a loop"},
    {"x = 1 / 0", "1:7: division by 0"},
    {"x = 9223372036854775807 + 1", "1:25: this number is too large"},
    {"x = 99999999999999999999", "1:5: this number is too large"},
    {"x = 1 + \"a\"", "1:7: '+' is not defined for 1 and \"a\""},
    {"x = 1 < \"a\"", "1:7: 1 and \"a\" cannot be ordered"},
    {"x = [1][3]", "1:9: the list has 1 elements, no index 3"},
    {"x = {\"a\": 1}[\"b\"]", "1:14: the dict has no key \"b\""},
    {"x = {\"a\": 1, \"a\": 2}", "1:14: the key \"a\" is given twice"},
    {"x = {[1]: 2}", "1:6: a list or a dict cannot be a key"},
    {"for x in 5:\n  pass", "1:10: expected a list or a dict to iterate over, got 5"},
    {"for a, b in [[1]]:\n  pass", "1:5: expected 2 values, got [1]"},
    {"x = range(99999999)", "1:5: range takes a nonzero step and yields at most 10000 numbers"},
    {"x = \"ab\" * 99999", "1:10: this exceeds 10000 characters"},
    {"x = [0]\nfor i in range(30):\n  x = x + x", "3:7: this exceeds 10000 elements"},
    {
      "for i in range(9999):\n  for j in range(9999):\n    pass",
      "3:5: the script takes more than 100000 steps"
    },
    {"fail(\"no such site\")", "1:1: no such site"},
    {"x = int(\"a\")", "1:5: \"a\" is not a number"},
    {
      "x = " + "(".repeat(50) + "1" + ")".repeat(50),
      "1:1: brackets are nested deeper than 40 levels"
    },
  };

  @Example
  void invalidScriptIsReportedWithPositionAndExpectation() {
    List<String> mismatches = new ArrayList<>();
    for (String[] invalid : INVALID_SCRIPTS) {
      String message =
          assertThrows(BadSettingsException.class, () -> read(invalid[0]), invalid[0]).getMessage();
      if (!message.equals("a.star:" + invalid[1])) {
        mismatches.add(invalid[0] + " -> " + message);
      }
    }
    assertEquals(List.of(), mismatches);
  }

  @Example
  void propertiesFileIsRejectedWithTheReplacement() {
    BadSettingsException e =
        assertThrows(BadSettingsException.class, () -> Settings.read(Path.of("x.properties")));
    assertTrue(e.getMessage().contains("appliance.star") && e.getMessage().lines().count() == 1);
  }

  @Example
  void tableListsTheOriginOfEachValue() throws Exception {
    String table = Settings.parse("a.star", "durable(dir = \"/x\",\n  max_mb = 8)").table();
    assertTrue(
        table.lines().anyMatch(line -> line.matches("durable\\.max_mb +8 +a\\.star:2:12")), table);
    assertTrue(
        table.lines().anyMatch(line -> line.matches("durable\\.sync +group +default")), table);
    assertTrue(table.lines().anyMatch(line -> line.matches("uwsgi +off +default")), table);
  }

  @Provide
  Arbitrary<String> scriptFragments() {
    return Arbitraries.of(
            List.of(
                "x", "=", "1", "(", ")", "[", "]", "{", "}", ":", "\n", "\n  ", "\n    ", "if ",
                "for ", " in ", "def ", "f", ",", "\"s\"", "+", "-", "*", "//", "durable", "dir",
                " not ", " else ", "range", "9", "return ", "#", "'", "\\", "\t", " ", ".5", "%",
                "<", "é", ";", " and ", "elif ", "\r\n", "None", "True"))
        .list()
        .ofMaxSize(60)
        .map(parts -> String.join("", parts));
  }

  @Property(tries = 3000, seed = "29421")
  void anyTextIsParsedOrRejectedWithASettingsError(@ForAll("scriptFragments") String text) {
    assertTimeoutPreemptively(
        Duration.ofSeconds(10),
        () -> {
          try {
            read(text);
          } catch (BadSettingsException e) {
            assertTrue(e.getMessage().startsWith("a.star:"), e.getMessage());
          }
        });
  }
}
