package wharftrestle.supervisor;

import java.io.IOException;
import java.nio.file.Path;

/** Appends to a journal until its file cannot grow, and prints the number of entries written. */
public final class FullDiskSupervisor {
  private FullDiskSupervisor() {}

  public static void main(String[] args) throws Exception {
    int written = 0;
    try (SupervisorJournal journal = new SupervisorJournal(Path.of(args[0]))) {
      for (int i = 0; i < 1000; i++) {
        journal.add(
            new SupervisorJournal.Entry(
                i, "started", "SERVES", "one", "", i, i, i, "x".repeat(i % 70)));
        written++;
      }
    } catch (IOException full) {
      System.out.println(written);
    }
  }
}
