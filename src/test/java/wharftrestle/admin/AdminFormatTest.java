package wharftrestle.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Compares the responses of the admin endpoint, an SNMP walk and the names of the MIB with fixtures
 * recorded by an earlier build, so that operators' tools keep working.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AdminFormatTest {

  @Test
  void adminEndpointResponsesMatchTheFixture() throws Exception {
    String expected = Files.readString(AdminFormatFixtures.ANSWERS);

    String actual = AdminFormatFixtures.answers();

    assertEquals(expected, actual);
  }

  @Test
  void snmpWalkMatchesTheFixture() throws Exception {
    List<String> expected = Files.readAllLines(AdminFormatFixtures.WALK);

    List<String> actual = AdminFormatFixtures.walk();

    assertEquals(String.join("\n", expected), String.join("\n", actual));
  }

  @Test
  void mibNamesAndOidsMatchTheFixture() throws Exception {
    List<String> expected = Files.readAllLines(AdminFormatFixtures.MIB_NAMES);

    List<String> actual = AdminFormatFixtures.mibNames();

    assertEquals(String.join("\n", expected), String.join("\n", actual));
  }
}
