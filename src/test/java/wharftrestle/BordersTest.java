package wharftrestle;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noMethods;

import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.util.concurrent.locks.ReentrantLock;

/** Architecture rules: code that decides does not depend on sockets, files, threads or clocks. */
@AnalyzeClasses(packages = "wharftrestle", importOptions = ImportOption.DoNotIncludeTests.class)
class BordersTest {
  private static final String PROCESSOR_DEPENDENT_FUNCTIONS =
      "exp|expm1|log|log10|log1p|pow|sin|cos|tan|asin|acos|atan|atan2|sinh|cosh|tanh|cbrt|hypot";

  private static final String[] DECISION_PACKAGES = {
    "wharftrestle.admission..",
    "wharftrestle.idempotency..",
    "wharftrestle.handover..",
    "wharftrestle.rollout",
    "wharftrestle.simulation.."
  };

  @ArchTest
  static final ArchRule decisionPackagesUseNoIoClockOrConcurrency =
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.io..",
              "java.net..",
              "java.nio.channels..",
              "java.nio.file..",
              "java.time..",
              "java.util.concurrent..",
              "org.tinylog..");

  /** The last digit of these functions of Math depends on the processor, so decisions would too. */
  @ArchTest
  static final ArchRule decisionPackagesComputeAlikeOnAllProcessors =
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .callMethodWhere(
              describe(
                  "a function of Math whose last digit depends on the processor",
                  call ->
                      call.getTargetOwner().isEquivalentTo(Math.class)
                          && call.getName().matches(PROCESSOR_DEPENDENT_FUNCTIONS)));

  @ArchTest
  static final ArchRule decisionPackagesReadNoClock =
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(Thread.class, "sleep", long.class);

  @ArchTest
  static final ArchRule storageDecisionsUseNoFilesThreadsOrOtherPackages =
      noClasses()
          .that()
          .resideInAPackage("wharftrestle.storage..")
          .and()
          .haveNameNotMatching(
              ".*\\.(WriteAheadLog|LogReader|LogWriter|SegmentWriter|LogMetrics|PendingRecord"
                  + "|FileSegmentStore|SegmentStore|UnusableStorageException|Compaction|KeyPositionCheck"
                  + "|ResultLogTool)"
                  + "(\\$.*)?")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.io..",
              "java.nio.channels..",
              "java.nio.file..",
              "java.util.concurrent..",
              "org.tinylog..",
              "wharftrestle.transport..",
              "wharftrestle.upstream..",
              "wharftrestle.discovery..",
              "wharftrestle.config..",
              "wharftrestle.request..");

  @ArchTest
  static final ArchRule requestPackageUsesNoStorageSettingsOrSockets =
      noClasses()
          .that()
          .resideInAPackage("wharftrestle.request..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "wharftrestle.storage..",
              "wharftrestle.settings..",
              "java.nio.file..",
              "java.nio.channels..",
              "java.net..");

  @ArchTest
  static final ArchRule admissionPackageUsesNoOtherDaemonPackage =
      noClasses()
          .that()
          .resideInAPackage("wharftrestle.admission..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "wharftrestle.request..",
              "wharftrestle.transport..",
              "wharftrestle.upstream..",
              "wharftrestle.discovery..",
              "wharftrestle.config..",
              "wharftrestle.idempotency..",
              "wharftrestle.frontend..",
              "wharftrestle.admin..",
              "wharftrestle.metrics..",
              "wharftrestle.snmp..");

  @ArchTest
  static final ArchRule daemonDoesNotDependOnTestbedSimulationSupervisorOrRollout =
      noClasses()
          .that()
          .resideOutsideOfPackages(
              "wharftrestle.testbed..",
              "wharftrestle.simulation..",
              "wharftrestle.supervisor..",
              "wharftrestle.rollout..")
          .and()
          .doNotHaveSimpleName("Main")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "wharftrestle.testbed..",
              "wharftrestle.simulation..",
              "wharftrestle.supervisor..",
              "wharftrestle.rollout..");

  @ArchTest
  static final ArchRule supervisorDecisionsUseNoIoClockOrConcurrency =
      noClasses()
          .that()
          .haveFullyQualifiedName("wharftrestle.supervisor.SupervisorStateMachine")
          .or()
          .haveFullyQualifiedName("wharftrestle.supervisor.SupervisorRecovery")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.io..",
              "java.net..",
              "java.nio..",
              "java.time..",
              "java.util.concurrent..",
              "org.tinylog..");

  // One lock, created by RequestParts, guards all decisions of the request package.
  @ArchTest
  static final ArchRule onlyRequestPartsCreatesLocks =
      noClasses()
          .that()
          .resideInAPackage("wharftrestle.request..")
          .and()
          .doNotHaveSimpleName("RequestParts")
          .should()
          .callConstructor(ReentrantLock.class)
          .orShould()
          .callConstructor(ReentrantLock.class, boolean.class)
          .orShould()
          .dependOnClassesThat()
          .haveNameMatching(
              "java\\.util\\.concurrent\\.(Semaphore|locks\\.(ReentrantReadWriteLock|StampedLock)).*");

  @ArchTest
  static final ArchRule requestPackageHasNoSynchronizedMethods =
      noMethods()
          .that()
          .areDeclaredInClassesThat()
          .resideInAPackage("wharftrestle.request..")
          .should()
          .haveModifier(JavaModifier.SYNCHRONIZED);

  // Code that runs under the lock must not block.
  @ArchTest
  static final ArchRule requestPackageUsesNoSocketsFilesOrSleep =
      noClasses()
          .that()
          .resideInAPackage("wharftrestle.request..")
          .and()
          .doNotHaveSimpleName("ResultStore")
          .and()
          .doNotHaveSimpleName("ResultRecorder")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("java.io..", "java.nio..", "java.net..")
          .orShould()
          .callMethod(Thread.class, "sleep", long.class);
}
