package wharftrestle.supervisor;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the kernel says of a process. */
public final class ProcessInfo {
  private ProcessInfo() {}

  /**
   * Seconds of all cores that a process has used, by itself and in the system; in hundredths, as
   * Linux counts them.
   */
  public static double cpuSeconds(long pid) throws IOException {
    String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / 100.0;
  }

  /**
   * Memory of a process, kB: VmHWM is the most that was resident, RssAnon what can only be its own.
   */
  public static long memoryKb(long pid, String name) throws IOException {
    return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
        .filter(line -> line.startsWith(name + ":"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
        .findFirst()
        .orElse(0);
  }
}
