package wharftrestle.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wharftrestle.RunScriptStart;

/** Guards against limits of requests and connections that need more memory than is allowed. */
class ResourceLimitsTest {
  private static final long BYTES_PER_MB = 1024 * 1024;

  @TempDir private Path directory;

  @ParameterizedTest
  @ValueSource(ints = {1, 48, 52, 64, 88, 128, 192, 256, 1024, 16_384, 999_999})
  void directMemoryOfAllThreads_fitsIntoTheLimitOfTheStartScript(int memoryMb) throws Exception {
    RunScriptStart start =
        RunScriptStart.run(directory, "{\"limits\":{\"memory_mb\":" + memoryMb + "}}");
    long heapBytes = megabytes(start, "-Xmx") * BYTES_PER_MB;
    long allowed = megabytes(start, "-XX:MaxDirectMemorySize=") * BYTES_PER_MB;

    for (int sockets : new int[] {16, 64, 256, 1024, 65_536, 1_000_000}) {
      for (double cores : new double[] {0.1, 1, 8, 4096}) {
        long needed = ResourceLimits.of(memoryMb, cores, sockets, true, heapBytes).maxDirectBytes();

        assertTrue(needed <= allowed, sockets + " sockets, " + cores + " cores: " + needed);
      }
    }
  }

  private static long megabytes(RunScriptStart start, String option) {
    return start.arguments().stream()
        .filter(argument -> argument.startsWith(option))
        .map(argument -> argument.substring(option.length(), argument.length() - 1))
        .mapToLong(Long::parseLong)
        .findFirst()
        .orElseThrow();
  }
}
