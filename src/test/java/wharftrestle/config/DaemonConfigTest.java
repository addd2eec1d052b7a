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

/** Optional and required keys of the platform's configuration. */
class DaemonConfigTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @TempDir private Path folder;

  private static ObjectNode validConfig() throws IOException {
    try (InputStream input = DaemonConfig.class.getResourceAsStream("/rehearsal.json")) {
      return (ObjectNode) MAPPER.readTree(input);
    }
  }

  private DaemonConfig read(ObjectNode root) throws IOException, DaemonConfig.BadConfigException {
    Path file = folder.resolve("config.json");
    Files.write(file, MAPPER.writeValueAsBytes(root));
    return DaemonConfig.read(Map.of("EDGE_CONFIG", file.toString()));
  }

  /**
   * Reads a valid configuration with this kind of dependency and this JSON value of 'db'; null for
   * no 'db'.
   */
  private DaemonConfig read(String downstream, String db)
      throws IOException, DaemonConfig.BadConfigException {
    ObjectNode root = validConfig();
    ((ObjectNode) root.at("/settings/specifics")).put("downstream", downstream);
    root.remove("db");
    if (db != null) {
      root.set("db", MAPPER.readTree(db));
    }
    return read(root);
  }

  private String rejectionMessage(String downstream, String db) {
    String message =
        assertThrows(DaemonConfig.BadConfigException.class, () -> read(downstream, db))
            .getMessage();
    assertEquals(1, message.lines().count(), message);
    return message;
  }

  @Test
  void siteWithoutDependencyCallsNeedsNoStore() throws Exception {
    for (String absent : new String[] {null, "\"\"", "null", "\"  \""}) {
      assertNull(read("none", absent).db(), "db is " + absent);
    }
    assertEquals(
        9, read("none", "\"127.0.0.1:9\"").db().getPort(), "a given address is used nevertheless");
  }

  @Test
  void requiredOrGivenStoreMustBeAnAddress() throws Exception {
    for (String invalid : new String[] {null, "\"\"", "null", "\"nowhere\"", "7"}) {
      assertTrue(
          rejectionMessage("shared", invalid).startsWith("'db' is no address"), "db is " + invalid);
      assertTrue(
          rejectionMessage("tier", invalid).startsWith("'db' is no address"), "db is " + invalid);
    }
    assertTrue(
        rejectionMessage("none", "\"nowhere\"").startsWith("'db' is no address"),
        "an invalid address is not treated as absent");
  }

  @Test
  void poolNameServiceAndListenAddressAreAlwaysRequired() throws Exception {
    for (String key : new String[] {"pool", "naming", "listen"}) {
      ObjectNode root = validConfig();
      root.put(key, "");
      String message =
          assertThrows(DaemonConfig.BadConfigException.class, () -> read(root)).getMessage();
      assertEquals("'" + key + "' is no address: ''", message);
    }
  }
}
