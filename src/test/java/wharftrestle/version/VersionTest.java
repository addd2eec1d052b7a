package wharftrestle.version;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.lang.reflect.RecordComponent;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.Sites;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;
import wharftrestle.config.DaemonConfig;

/** Tests version ranges, build digests, and which settings change the settings digest. */
class VersionTest {

  @Test
  void newestCommonVersionOfTwoRanges_isTheNewestInBothOrNone() {
    assertEquals(2, VersionRange.parse("1-2").newestCommon(VersionRange.parse("2-5")));
    assertEquals(-1, VersionRange.parse("1-2").newestCommon(VersionRange.parse("3")));
    assertEquals("1-2", VersionRange.parse("1-2").toString());
    for (String bad : new String[] {"", "2-1", "1-2-3", "x", "-1", "1-"}) {
      assertThrows(IllegalArgumentException.class, () -> VersionRange.parse(bad), bad);
    }
  }

  @Test
  void recordedDigest_isReadFromTheFileBesideTheJar_unknownIfMalformed(@TempDir Path directory)
      throws Exception {
    Path jar = Files.writeString(directory.resolve("a.jar"), "bytes");
    assertEquals("unknown", BuildInfo.recordedDigest(jar));
    Files.writeString(directory.resolve("a.jar.sha256"), BuildInfo.digest(jar) + "  a.jar\n");
    assertEquals(BuildInfo.digest(jar), BuildInfo.recordedDigest(jar));
    assertEquals(
        "277089d91c0bdf4f2e6862ba7e4a07605119431f5d13f726dd352b06f1b206a9",
        BuildInfo.recordedDigest(jar));
    Files.writeString(directory.resolve("a.jar.sha256"), "half");
    assertEquals("unknown", BuildInfo.recordedDigest(jar));
  }

  private static String canonical(
      AdmissionSettings settings, int port, DaemonConfig.Appliance appliance)
      throws UnknownHostException {
    InetSocketAddress at =
        new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), port);
    return new DaemonConfig("n", at, at, at, at, null, port, 3, 1, 1024, 192, null, settings)
        .canonical(appliance);
  }

  @Test
  void canonicalSettings_changeWithEverySetting_notWithAddressesOrSeed() throws Exception {
    AdmissionSettings plain = Sites.site().build();
    DaemonConfig.Appliance none = DaemonConfig.Appliance.none();
    String before = canonical(plain, 1000, none);
    assertEquals(before, canonical(plain, 2000, none));
    // A cold start is a state of the process, not a setting of the operators.
    Set<String> ignored = Set.of("coldStart");
    Map<String, Record> changes = changedCopies(plain);
    assertEquals(30, changes.size(), changes.keySet().toString());
    changes.forEach(
        (name, changed) -> {
          String after =
              assertDoesNotThrow(() -> canonical((AdmissionSettings) changed, 1000, none));
          if (ignored.contains(name)) {
            assertEquals(before, after);
          } else {
            assertNotEquals(before, after, name);
          }
        });
    assertNotEquals(
        before, canonical(plain, 1000, new DaemonConfig.Appliance(null, null, null, "public", 25)));
    assertNotEquals(
        before,
        canonical(
            plain,
            1000,
            new DaemonConfig.Appliance(
                null,
                null,
                null,
                "public",
                DaemonConfig.HELD_KB,
                new DaemonConfig.Durable(Path.of("/a"), 1, 2, 3, 4, "group"))));
  }

  /** Maps the name of each component, also of nested records, to a copy with it changed. */
  private static Map<String, Record> changedCopies(Record plain) throws Exception {
    RecordComponent[] parts = plain.getClass().getRecordComponents();
    Object[] values = new Object[parts.length];
    Class<?>[] types = new Class<?>[parts.length];
    for (int i = 0; i < parts.length; i++) {
      values[i] = parts[i].getAccessor().invoke(plain);
      types[i] = parts[i].getType();
    }
    var constructor = plain.getClass().getDeclaredConstructor(types);
    Map<String, Record> changes = new LinkedHashMap<>();
    for (int i = 0; i < parts.length; i++) {
      Object before = values[i];
      Map<String, Object> changedValues = new LinkedHashMap<>();
      if (before instanceof Record group) {
        changedValues.putAll(changedCopies(group));
      } else {
        changedValues.put(parts[i].getName(), changedValue(before, parts[i].getName()));
      }
      for (Map.Entry<String, Object> each : changedValues.entrySet()) {
        values[i] = each.getValue();
        Record changed = (Record) constructor.newInstance(values.clone());
        assertNull(changes.put(each.getKey(), changed));
      }
      values[i] = before;
    }
    return changes;
  }

  private static Object changedValue(Object value, String name) {
    if (value instanceof Integer number) {
      return number + 1;
    }
    if (value instanceof Double number) {
      return number + 1;
    }
    if (value instanceof Boolean flag) {
      return !flag;
    }
    if (value instanceof Enum<?> constant) {
      Object[] all = constant.getDeclaringClass().getEnumConstants();
      return all[(Arrays.asList(all).indexOf(constant) + 1) % all.length];
    }
    return name.equals("tenants") ? List.of(new Admission.Tenant("t", 1, 1)) : List.of();
  }
}
