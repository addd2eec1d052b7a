package wharftrestle;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noMethods;

import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.util.concurrent.locks.ReentrantLock;

/** Decisions stand apart from sockets, files, threads and clocks. */
@AnalyzeClasses(packages = "wharftrestle", importOptions = ImportOption.DoNotIncludeTests.class)
class BordersTest {
  private static final String[] DECISIONS = {
    "wharftrestle.admission..",
    "wharftrestle.idempotency..",
    "wharftrestle.handover..",
    "wharftrestle.rollout",
    "wharftrestle.simulation.."
  };

  @ArchTest
  static final ArchRule decisionsTouchNoOutsideWorld =
      noClasses()
          .that()
          .resideInAnyPackage(DECISIONS)
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

  @ArchTest
  static final ArchRule decisionsReadNoClock =
      noClasses()
          .that()
          .resideInAnyPackage(DECISIONS)
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(Thread.class, "sleep", long.class);

  @ArchTest
  static final ArchRule onlyTheJournalMeetsTheDisk =
      noClasses()
          .that()
          .resideInAPackage("wharftrestle.storage..")
          .and()
          .haveNameNotMatching(
              ".*\\.(WriteAheadLog|LogReader|LogWriter|SegmentWriter|LogMetrics|PendingRecord"
                  + "|FileSegmentStore|SegmentStore|UnusableStorageException|Compaction|ResultLogTool)"
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
  static final ArchRule theCoreKnowsNoDisk =
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
  static final ArchRule thePolicyKnowsNobody =
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
  static final ArchRule theServingPathKnowsNoRigAndNoKeeper =
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
  static final ArchRule theKeeperDecidesWithoutIo =
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

  @ArchTest
  static final ArchRule oneLockGuardsAllDecisions =
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
  static final ArchRule noMonitorStandsBesideTheOneLock =
      noMethods()
          .that()
          .areDeclaredInClassesThat()
          .resideInAPackage("wharftrestle.request..")
          .should()
          .haveModifier(JavaModifier.SYNCHRONIZED);

  @ArchTest
  static final ArchRule whatIsDecidedUnderTheLockReachesNoSocketAndNoFile =
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
