package wharftrestle.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Holds what operators' tools are answered against what an earlier build answered. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AdminFormatTest {

  @Test
  void everyPathOfTheAdminPortIsAnsweredAsRecorded() throws Exception {
    String expected = Files.readString(AdminFormatFixtures.ANSWERS);

    String actual = AdminFormatFixtures.answers();

    assertEquals(expected, actual);
  }

  @Test
  void aWalkOfTheAgentFindsTheRecordedObjectsSyntaxesAndValues() throws Exception {
    List<String> expected = Files.readAllLines(AdminFormatFixtures.WALK);

    List<String> actual = AdminFormatFixtures.walk();

    assertEquals(String.join("\n", expected), String.join("\n", actual));
  }

  @Test
  void theMibHasTheRecordedNamesAtTheRecordedPlaces() throws Exception {
    List<String> expected = Files.readAllLines(AdminFormatFixtures.MIB_NAMES);

    List<String> actual = AdminFormatFixtures.mibNames();

    assertEquals(String.join("\n", expected), String.join("\n", actual));
  }
}
