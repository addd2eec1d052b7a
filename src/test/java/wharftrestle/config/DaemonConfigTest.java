package wharftrestle.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the platform's configuration may leave out, and what it may not. */
class DaemonConfigTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @TempDir private Path folder;

  private static ObjectNode whole() throws IOException {
    try (InputStream told = DaemonConfig.class.getResourceAsStream("/rehearsal.json")) {
      return (ObjectNode) MAPPER.readTree(told);
    }
  }

  private DaemonConfig read(ObjectNode root) throws IOException, DaemonConfig.BadConfigException {
    Path file = folder.resolve("config.json");
    Files.write(file, MAPPER.writeValueAsBytes(root));
    return DaemonConfig.read(Map.of("EDGE_CONFIG", file.toString()));
  }

  /**
   * A whole configuration whose runs call below as told, with what stands there for 'db'; null for
   * nothing.
   */
  private DaemonConfig read(String downstream, String db)
      throws IOException, DaemonConfig.BadConfigException {
    ObjectNode root = whole();
    ((ObjectNode) root.at("/settings/specifics")).put("downstream", downstream);
    root.remove("db");
    if (db != null) {
      root.set("db", MAPPER.readTree(db));
    }
    return read(root);
  }

  private String refused(String downstream, String db) {
    String why =
        assertThrows(DaemonConfig.BadConfigException.class, () -> read(downstream, db))
            .getMessage();
    assertEquals(1, why.lines().count(), why);
    return why;
  }

  @Test
  void aSiteWhoseRunsCallNothingNeedsNoStore() throws Exception {
    for (String nothing : new String[] {null, "\"\"", "null", "\"  \""}) {
      assertNull(read("none", nothing).db(), "db is " + nothing);
    }
    assertEquals(
        9,
        read("none", "\"127.0.0.1:9\"").db().getPort(),
        "one that is told is taken all the same");
  }

  @Test
  void aStoreThatIsNeededOrMeantMustBeAnAddress() throws Exception {
    for (String wrong : new String[] {null, "\"\"", "null", "\"nowhere\"", "7"}) {
      assertTrue(refused("shared", wrong).startsWith("'db' is no address"), "db is " + wrong);
      assertTrue(refused("tier", wrong).startsWith("'db' is no address"), "db is " + wrong);
    }
    assertTrue(
        refused("none", "\"nowhere\"").startsWith("'db' is no address"), "a slip is no absence");
  }

  @Test
  void thePoolAndTheNameServiceAreNeededEverywhere() throws Exception {
    for (String needed : new String[] {"pool", "naming", "listen"}) {
      ObjectNode root = whole();
      root.put(needed, "");
      String why =
          assertThrows(DaemonConfig.BadConfigException.class, () -> read(root)).getMessage();
      assertEquals("'" + needed + "' is no address: ''", why);
    }
  }
}
