package wharftrestle.rollout.controller;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.Fixtures;

/**
 * Records the rollout controller's fixtures, as the README beside them says. Its name keeps it out
 * of a build: it runs only by {@code -Dtest=RolloutFixtureWriter}, and writes over no recorded
 * file.
 */
class RolloutFixtureWriter {
  @TempDir private Path scratch;

  @Test
  void write() throws Exception {
    RolloutFixtures.writeJournal(fresh(RolloutFixtures.JOURNAL));
    Path resumed = Files.createDirectories(scratch.resolve("resumed"));
    Fixtures.writeJson(fresh(RolloutFixtures.ORDERS), RolloutFixtures.orders(resumed));
    RolloutFixtures.Run run = RolloutFixtures.run(scratch);
    RolloutFixtures.writeLines(fresh(RolloutFixtures.RUN), run.journal());
    RolloutFixtures.writeLines(fresh(RolloutFixtures.EVENTS), run.events());
  }

  @Test
  void writeStatus() throws Exception {
    Fixtures.writeJson(fresh(RolloutFixtures.STATUS), RolloutFixtures.statusWhileWatching(scratch));
  }

  private static Path fresh(String name) {
    Path file = Fixtures.path(name);
    if (Files.exists(file)) {
      throw new IllegalStateException(file + " is recorded already: remove it first");
    }
    return file;
  }
}
