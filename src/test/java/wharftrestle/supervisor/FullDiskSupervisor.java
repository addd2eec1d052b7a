package wharftrestle.supervisor;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Writes a keeper's journal until its file may not grow any more, and says how many steps are in
 * it.
 */
public final class FullDiskSupervisor {
  private FullDiskSupervisor() {}

  public static void main(String[] args) throws Exception {
    int written = 0;
    try (SupervisorJournal steps = new SupervisorJournal(Path.of(args[0]))) {
      for (int i = 0; i < 1000; i++) {
        steps.add(
            new SupervisorJournal.Entry(
                i, "started", "SERVES", "one", "", i, i, i, "x".repeat(i % 70)));
        written++;
      }
    } catch (IOException full) {
      System.out.println(written);
    }
  }
}
