package wharftrestle.storage;

import java.util.List;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/**
 * Checks with Lincheck that the group commit queue is linearizable for several producers and one
 * writer thread.
 */
@Param(name = "entry", gen = IntGen.class, conf = "1:3")
public class GroupCommitQueueTest {
  private static final Integer[] ENTRIES = {null, 1000, 2000, 3000}; // compared by identity

  private final GroupCommitQueue<Integer> queue = new GroupCommitQueue<>(2);

  @Operation
  public boolean add(@Param(name = "entry") int entry) {
    return queue.add(ENTRIES[entry], 1, false);
  }

  @Operation
  public boolean addRequired(@Param(name = "entry") int entry) {
    return queue.add(ENTRIES[entry], 1, true);
  }

  @Operation
  public boolean withdraw(@Param(name = "entry") int entry) {
    return queue.withdraw(ENTRIES[entry], 1);
  }

  @Operation(nonParallelGroup = "writer")
  public List<Integer> drain() {
    return queue.drain();
  }

  @Operation
  public long queuedBytes() {
    return queue.queuedBytes();
  }

  @Operation
  public void close() {
    queue.close();
  }

  @Test
  void everyInterleavingIsLinearizable() {
    new ModelCheckingOptions()
        .threads(3)
        .actorsPerThread(3)
        .iterations(15)
        .invocationsPerIteration(300)
        .check(GroupCommitQueueTest.class);
  }

  @Test
  void stressedInterleavingsAreLinearizable() {
    new StressOptions()
        .threads(3)
        .actorsPerThread(3)
        .iterations(10)
        .invocationsPerIteration(1000)
        .check(GroupCommitQueueTest.class);
  }
}
