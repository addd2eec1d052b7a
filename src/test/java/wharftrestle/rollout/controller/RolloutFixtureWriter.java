package wharftrestle.rollout.controller;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.Fixtures;

/**
 * Records the rollout controller's fixtures, as described in the README next to them. The class
 * name does not match the test pattern of a build, so it runs only with {@code
 * -Dtest=RolloutFixtureWriter}. It does not overwrite recorded files.
 */
class RolloutFixtureWriter {
  @TempDir private Path scratch;

  @Test
  void write() throws Exception {
    RolloutFixtures.writeJournal(newFile(RolloutFixtures.JOURNAL));
    Path resumed = Files.createDirectories(scratch.resolve("resumed"));
    Fixtures.writeJson(newFile(RolloutFixtures.ORDERS), RolloutFixtures.orders(resumed));
    RolloutFixtures.Run run = RolloutFixtures.run(scratch);
    RolloutFixtures.writeLines(newFile(RolloutFixtures.RUN), run.journal());
    RolloutFixtures.writeLines(newFile(RolloutFixtures.EVENTS), run.events());
  }

  @Test
  void writeStatus() throws Exception {
    Fixtures.writeJson(
        newFile(RolloutFixtures.STATUS), RolloutFixtures.statusWhileObserving(scratch));
  }

  private static Path newFile(String name) {
    Path file = Fixtures.path(name);
    if (Files.exists(file)) {
      throw new IllegalStateException(file + " is recorded already: remove it first");
    }
    return file;
  }
}
