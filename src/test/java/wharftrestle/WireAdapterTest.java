package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import wharftrestle.admission.AdmissionController;
import wharftrestle.simulator.SimulatorAdapter;

/** Tests {@link SimulatorAdapter} with hand-written protocol lines. */
class WireAdapterTest {
  private static final String FACTS =
      "{\"categories\":[{\"deadline\":6,\"slo\":2,\"importance\":1,"
          + "\"repeat\":\"read_like\",\"name\":\"a\",\"novelty\":[1]},{\"deadline\":6,\"slo\":2,\"memorySpan\":9,"
          + "\"repeat\":\"idempotency_key\"}],\"specifics\":{\"nCores\":2,\"memoryKb\":9000,\"keyKb\":3,"
          + "\"runFactor\":4,\"preemption\":\"none\",\"gauges\":[\"cpu_busy\"]},"
          + "\"obligations\":{\"tipMultiple\":6,\"answerSlack\":0.1},\"unheardOf\":{}}";

  private static String serve(String... lines) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorAdapter(AdmissionController::new)
        .serve(
            new ByteArrayInputStream(
                (String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8)),
            out);
    return out.toString(StandardCharsets.UTF_8);
  }

  private static String spawn(int instance) {
    return "at\tinstance=" + instance + "\nspawn\tprng=18446744073709551615\tfacts=" + FACTS;
  }

  /** Serves a batch that contains this line, and returns the reply's line with the error. */
  private static String crash(String line) throws IOException {
    String reply =
        serve("clock\tnow=1", spawn(3), "commit", "clock\tnow=2", "at\tinstance=3", line, "commit");
    assertTrue(reply.endsWith("\nok\n"), reply);
    String[] lines = reply.split("\n", 0);
    assertTrue(lines[lines.length - 2].startsWith("crash\tline="), reply);
    assertFalse(reply.contains("\tat "), reply);
    return lines[lines.length - 2];
  }

  @Test
  void replyToEmptyBatchIsOk() throws IOException {
    assertEquals("ok\n", serve("clock\tnow=8.41225", "commit"));
    assertEquals("", serve());
  }

  @Test
  void actionsAreListedByInstanceInTheOrderRequested() throws IOException {
    assertEquals(
        "source\tinstance=3\nset_health\twant=1\tcheap=1\n"
            + "source\tinstance=5\nset_health\twant=1\tcheap=1\nok\n"
            + "source\tinstance=5\nmemo\topId=4503599627370495\tttl=9.010000\nadmit\topId=4503599627370495\n"
            + "set_timer\tlabel=0\tsleepFor=5.990000\nok\n",
        serve(
            "clock\tnow=1",
            spawn(3),
            spawn(5),
            "commit",
            "clock\tnow=2.5",
            "at\tinstance=5",
            "arrival\topId=4503599627370495\tlay=0.01\tservice=1\tkb=2\tnovel=x\tclientGroup=",
            "commit"));
  }

  @Test
  void unknownEventsAndFieldsAreIgnored() throws IOException {
    assertEquals(
        "source\tinstance=3\nset_health\twant=1\tcheap=1\nok\nok\n",
        serve(
            "clock\tnow=1",
            spawn(3),
            "commit",
            "clock\tnow=2\tmood=fair",
            "at\tinstance=3",
            "weather\tsky=blue",
            "weather",
            "",
            "commit"));
  }

  @Test
  void errorForMalformedLineNamesFieldAndLine() throws IOException {
    assertTrue(crash("arrival\topId=7\tservice=0").contains("missing field 'kb' of 'arrival'"));
    assertTrue(crash("arrival\topId=x7\tservice=0\tkb=1").contains("unreadable field 'opId'"));
    assertTrue(crash("work_done\topId=7\tstatus=splendid").contains("unknown status 'splendid'"));
    assertTrue(crash("lame_duck\ttimeBudget=NaN").contains("unreadable field 'timeBudget'"));
    assertTrue(crash("spawn\tprng=1\tfacts={nonsense").contains("unreadable settings"));
    assertTrue(
        crash("spawn\tprng=1\tfacts={}").contains("missing key 'specifics' in the settings"));
  }

  @Test
  void exceptionOfAdmissionControlIsReported() throws IOException {
    assertTrue(crash("arrival\topId=7\tservice=9\tkb=1").contains("exception"));
  }

  @Test
  void instanceRestartsWithoutStateAfterDown() throws IOException {
    String reply =
        serve(
            "clock\tnow=1",
            spawn(3),
            "commit",
            "clock\tnow=2",
            "at\tinstance=3",
            "arrival\topId=1\tservice=0\tkb=1",
            "down",
            spawn(3),
            "commit");
    assertEquals(
        "source\tinstance=3\nset_health\twant=1\tcheap=1\nok\n"
            + "source\tinstance=3\nset_health\twant=1\tcheap=1\nok\n",
        reply);
  }
}
