package wharftrestle.supervisor;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.Fixtures;

/**
 * Records the supervisor's fixtures, as the README beside them says. Its name keeps it out of a
 * build: it runs only by {@code -Dtest=SupervisorFixtureWriter}, and writes over no recorded file.
 */
class SupervisorFixtureWriter {
  @TempDir private Path scratch;

  @Test
  void write() throws Exception {
    SupervisorFixtures.writeJournal(fresh(SupervisorFixtures.JOURNAL));
    Path releases = fresh(SupervisorFixtures.RELEASES);
    SupervisorFixtures.packReleases(releases, scratch);
    SupervisorFixtures.Exchange exchange = SupervisorFixtures.exchange(scratch, releases);
    Files.copy(scratch.resolve("fence.jsonl"), fresh(SupervisorFixtures.FENCE));
    Fixtures.writeJson(fresh(SupervisorFixtures.EXCHANGES), exchange.messages());
  }

  @Test
  void writeRun() throws Exception {
    SupervisorRun run = SupervisorRun.of(scratch);
    StringBuilder lines = new StringBuilder();
    run.journal().forEach(line -> lines.append(line).append('\n'));
    Files.writeString(fresh(SupervisorRun.JOURNAL), lines);
    Fixtures.writeJson(fresh(SupervisorRun.ORDERS), run.orders());
    Fixtures.writeJson(fresh(SupervisorRun.HOST), run.host());
  }

  private static Path fresh(String name) {
    Path file = Fixtures.path(name);
    if (Files.exists(file)) {
      throw new IllegalStateException(file + " is recorded already: remove it first");
    }
    return file;
  }
}
