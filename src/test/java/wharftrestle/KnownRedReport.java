package wharftrestle;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.platform.engine.TestExecutionResult;
import org.junit.platform.engine.support.descriptor.MethodSource;
import org.junit.platform.launcher.TestExecutionListener;
import org.junit.platform.launcher.TestIdentifier;
import org.junit.platform.launcher.TestPlan;

/**
 * Prints how each test of KNOWN-RED.txt ended, and their numbers. Active only in the run of these
 * tests, in which the build sets the system property {@value #PROPERTY}.
 */
public final class KnownRedReport implements TestExecutionListener {
  private static final String PROPERTY = "knownRed";

  private final boolean active = Boolean.getBoolean(PROPERTY);
  private final AtomicInteger failedCount = new AtomicInteger();
  private final AtomicInteger heldCount = new AtomicInteger();

  @Override
  public void executionFinished(TestIdentifier test, TestExecutionResult result) {
    if (active && test.isTest() && !isOf(test, KnownRedListTest.class)) {
      boolean held = result.getStatus() == TestExecutionResult.Status.SUCCESSFUL;
      (held ? heldCount : failedCount).incrementAndGet();
      System.out.println("known red: " + name(test) + (held ? " held" : " failed"));
    }
  }

  @Override
  public void testPlanExecutionFinished(TestPlan plan) {
    if (active && failedCount.get() + heldCount.get() > 0) {
      System.out.println("\nknown red in all: " + failedCount + " failed, " + heldCount + " held");
    }
  }

  private static boolean isOf(TestIdentifier test, Class<?> testClass) {
    return test.getSource()
        .filter(MethodSource.class::isInstance)
        .map(source -> ((MethodSource) source).getClassName().equals(testClass.getName()))
        .orElse(false);
  }

  private static String name(TestIdentifier test) {
    return test.getSource()
            .filter(MethodSource.class::isInstance)
            .map(MethodSource.class::cast)
            .map(source -> source.getClassName() + "#" + source.getMethodName() + " ")
            .orElse("")
        + test.getDisplayName();
  }
}
