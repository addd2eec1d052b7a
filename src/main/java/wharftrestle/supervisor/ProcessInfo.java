package wharftrestle.supervisor;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Resource usage of a process, as Linux reports it in /proc. */
public final class ProcessInfo {
  private ProcessInfo() {}

  /**
   * CPU seconds that a process has used on all cores, in user and in kernel mode. Linux counts them
   * in hundredths.
   */
  public static double cpuSeconds(long pid) throws IOException {
    String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / 100.0;
  }

  /**
   * Memory of a process in kB.
   *
   * @param field a field of /proc/PID/status, as VmHWM (peak resident set) or RssAnon (resident
   *     anonymous memory, which is not shared)
   */
  public static long memoryKb(long pid, String field) throws IOException {
    return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
        .filter(line -> line.startsWith(field + ":"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
        .findFirst()
        .orElse(0);
  }
}
