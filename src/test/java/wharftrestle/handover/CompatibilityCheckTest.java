package wharftrestle.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import wharftrestle.version.VersionRange;

/** Tests which process may take over from which, and the reason if it may not. */
class CompatibilityCheckTest {
  private static final Capabilities.RequestClass READ =
      new Capabilities.RequestClass("read", false, 0);
  private static final Capabilities.RequestClass SAVE =
      new Capabilities.RequestClass("save", true, 12_000);
  private static final Capabilities.KeyCapacity CAPACITY =
      new Capabilities.KeyCapacity(100, 1000, 5000, 50_000);

  private static Capabilities capabilities(
      VersionRange handoverVersions,
      String storageDirectory,
      List<Capabilities.RequestClass> requestClasses,
      List<String> tenants,
      Capabilities.KeyCapacity keyCapacity) {
    return new Capabilities(
        "a build",
        handoverVersions,
        new VersionRange(1, 1),
        storageDirectory,
        requestClasses,
        tenants,
        keyCapacity,
        0);
  }

  private static Capabilities withClasses(Capabilities.RequestClass... classes) {
    return capabilities(new VersionRange(1, 2), "", List.of(classes), List.of(), CAPACITY);
  }

  private static Capabilities storing(String directory, VersionRange logVersions) {
    return new Capabilities(
        "a build",
        new VersionRange(1, 2),
        logVersions,
        directory,
        List.of(READ, SAVE),
        List.of(),
        CAPACITY,
        0);
  }

  private static String incompatibility(Capabilities predecessor, Capabilities successor) {
    return CompatibilityCheck.DEFAULT.incompatibility(predecessor, successor).orElse(null);
  }

  @Test
  void classAddedOrRemovedAtTheEnd_isCompatible_movedClassIsNot() {
    Capabilities extended =
        withClasses(READ, SAVE, new Capabilities.RequestClass("new", true, 5000));
    assertNull(incompatibility(withClasses(READ, SAVE), extended));
    assertNull(incompatibility(extended, withClasses(READ, SAVE)));
    assertEquals(
        "class 1 is 'read' in the predecessor and 'save' in the successor: keys are known by their class's place",
        incompatibility(withClasses(READ, SAVE), withClasses(SAVE, READ)));
    assertEquals(
        "class 'save' has idempotency keys only in the predecessor",
        incompatibility(
            withClasses(READ, SAVE),
            withClasses(READ, new Capabilities.RequestClass("save", false, 0))));
  }

  @Test
  void tenantAddedAtTheEnd_isCompatible_movedTenantIsNot() {
    Capabilities two =
        capabilities(new VersionRange(1, 2), "", List.of(SAVE), List.of("a", "b"), CAPACITY);
    assertNull(
        incompatibility(
            two,
            capabilities(
                new VersionRange(1, 2), "", List.of(SAVE), List.of("a", "b", "c"), CAPACITY)));
    assertEquals(
        "tenant 1 is 'a' in the predecessor and 'b' in the successor: keys hold the index of their"
            + " tenant",
        incompatibility(
            two,
            capabilities(new VersionRange(1, 2), "", List.of(SAVE), List.of("b", "a"), CAPACITY)));
    assertEquals(
        "only one of the two processes has tenants", incompatibility(two, withClasses(SAVE)));
  }

  @Test
  void storedResults_needTheSameDirectoryAndLogVersions() {
    VersionRange one = new VersionRange(1, 1);
    assertNull(incompatibility(storing("/a", one), storing("/a", one)));
    assertNull(
        incompatibility(withClasses(READ, SAVE), storing("/a", one)),
        "storage switched on by the successor");
    assertEquals(
        "the predecessor stores results in /a, the successor stores none",
        incompatibility(storing("/a", one), withClasses(READ, SAVE)));
    assertEquals(
        "the predecessor stores results in /a, the successor in /b",
        incompatibility(storing("/a", one), storing("/b", one)));
    assertTrue(
        incompatibility(storing("/a", new VersionRange(1, 2)), storing("/a", one))
            .contains("which the successor does not read"));
    assertTrue(
        incompatibility(storing("/a", one), storing("/a", new VersionRange(1, 2)))
            .contains("a rollback would not be possible"));
  }

  @Test
  void smallerKeyCapacity_isCompatibleWhileAllKeysFit() {
    Capabilities predecessor = withClasses(SAVE);
    assertNull(
        incompatibility(
            predecessor,
            capabilities(
                new VersionRange(1, 2),
                "",
                List.of(SAVE),
                List.of(),
                new Capabilities.KeyCapacity(0, 110, 0, 0))));
    assertEquals(
        "100 keys are known here, and there is room for 109 there",
        incompatibility(
            predecessor,
            capabilities(
                new VersionRange(1, 2),
                "",
                List.of(SAVE),
                List.of(),
                new Capabilities.KeyCapacity(0, 109, 0, 0))));
    Capabilities full =
        capabilities(
            new VersionRange(1, 2),
            "",
            List.of(SAVE),
            List.of(),
            new Capabilities.KeyCapacity(1000, 1000, 0, 0));
    assertNull(incompatibility(full, full), "a full table fits a successor of equal capacity");
  }

  @Test
  void handoverVersionsWithoutOverlap_areIncompatible() {
    Capabilities later =
        capabilities(new VersionRange(3, 4), "", List.of(SAVE), List.of(), CAPACITY);
    assertEquals(
        "no common handover format: predecessor 1-2, successor 3-4",
        incompatibility(withClasses(SAVE), later));
  }

  @Test
  void windowExtension_isTheLongestDifference() {
    Capabilities longer = withClasses(READ, new Capabilities.RequestClass("save", true, 20_500));
    assertEquals(8.5, CompatibilityCheck.windowExtensionSeconds(withClasses(READ, SAVE), longer));
    assertEquals(0, CompatibilityCheck.windowExtensionSeconds(longer, withClasses(READ, SAVE)));
  }

  @Property(tries = 200)
  void encodedCapabilities_areDecodedUnchanged(
      @ForAll @Size(max = 5) List<String> names, @ForAll @IntRange(min = 0) int number)
      throws Exception {
    List<Capabilities.RequestClass> namedClasses = new ArrayList<>();
    names.forEach(
        name -> namedClasses.add(new Capabilities.RequestClass(name, number % 2 == 0, number)));
    Capabilities sent =
        capabilities(
            new VersionRange(1, 2),
            "/a b\n%0A",
            namedClasses,
            names,
            new Capabilities.KeyCapacity(number, 1, 2, 3));
    assertEquals(sent, Capabilities.decode(sent.encode()));
    assertEquals(
        sent,
        Capabilities.decode(sent.encode() + "later says more\n"),
        "unknown lines are skipped");
  }

  @Test
  void malformedCapabilities_areReportedInOneLine() {
    for (String malformed :
        new String[] {
          "",
          "build",
          "build x\n",
          withClasses(SAVE).encode().replace("room 100", "room x"),
          withClasses(SAVE).encode().replace("keyed 12000", "locked 12000"),
          "build x\n".repeat(3000)
        }) {
      Capabilities.MalformedCapabilitiesException e =
          assertThrows(
              Capabilities.MalformedCapabilitiesException.class,
              () -> Capabilities.decode(malformed));
      assertTrue(!e.getMessage().contains("\n"), e.getMessage());
    }
  }
}
