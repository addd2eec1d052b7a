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

/** Who may take over from whom, and what is said where it may not be. */
class CompatibilityCheckTest {
  private static final Capabilities.RequestClass READ =
      new Capabilities.RequestClass("read", false, 0);
  private static final Capabilities.RequestClass SAVE =
      new Capabilities.RequestClass("save", true, 12_000);
  private static final Capabilities.KeyCapacity ROOM =
      new Capabilities.KeyCapacity(100, 1000, 5000, 50_000);

  private static Capabilities terms(
      VersionRange speaks,
      String folder,
      List<Capabilities.RequestClass> classes,
      List<String> tenants,
      Capabilities.KeyCapacity room) {
    return new Capabilities(
        "a build", speaks, new VersionRange(1, 1), folder, classes, tenants, room, 0);
  }

  private static Capabilities plain(Capabilities.RequestClass... classes) {
    return terms(new VersionRange(1, 2), "", List.of(classes), List.of(), ROOM);
  }

  private static Capabilities kept(String folder, VersionRange log) {
    return new Capabilities(
        "a build", new VersionRange(1, 2), log, folder, List.of(READ, SAVE), List.of(), ROOM, 0);
  }

  private static String against(Capabilities serves, Capabilities next) {
    return CompatibilityCheck.DEFAULT.incompatibility(serves, next);
  }

  @Test
  void aClassMoreOrLessAtTheEndIsTakenAndOneMovedIsNot() {
    Capabilities more = plain(READ, SAVE, new Capabilities.RequestClass("new", true, 5000));
    assertNull(against(plain(READ, SAVE), more));
    assertNull(against(more, plain(READ, SAVE)));
    assertEquals(
        "class 1 is 'read' here and 'save' there: keys are known by their class's place",
        against(plain(READ, SAVE), plain(SAVE, READ)));
    assertEquals(
        "class 'save' has keys here only",
        against(plain(READ, SAVE), plain(READ, new Capabilities.RequestClass("save", false, 0))));
  }

  @Test
  void tenantsAreKnownByTheirPlaceToo() {
    Capabilities two = terms(new VersionRange(1, 2), "", List.of(SAVE), List.of("a", "b"), ROOM);
    assertNull(
        against(
            two, terms(new VersionRange(1, 2), "", List.of(SAVE), List.of("a", "b", "c"), ROOM)));
    assertEquals(
        "tenant 1 is 'a' here and 'b' there: keys are known by their tenant's place",
        against(two, terms(new VersionRange(1, 2), "", List.of(SAVE), List.of("b", "a"), ROOM)));
    assertEquals("only one of both has tenants", against(two, plain(SAVE)));
  }

  @Test
  void resultsOnDiskAreHandedOverWithTheirFolderOrNotAtAll() {
    VersionRange one = new VersionRange(1, 1);
    assertNull(against(kept("/a", one), kept("/a", one)));
    assertNull(against(plain(READ, SAVE), kept("/a", one)), "switched on");
    assertEquals(
        "results are kept in /a here, and nowhere there",
        against(kept("/a", one), plain(READ, SAVE)));
    assertEquals(
        "results are kept in /a here, and in /b there", against(kept("/a", one), kept("/b", one)));
    assertTrue(
        against(kept("/a", new VersionRange(1, 2)), kept("/a", one)).contains("is not read there"));
    assertTrue(
        against(kept("/a", one), kept("/a", new VersionRange(1, 2))).contains("no way back"));
  }

  @Test
  void aSmallerRoomIsTakenAsLongAsAllKeysFit() {
    Capabilities serves = plain(SAVE);
    assertNull(
        against(
            serves,
            terms(
                new VersionRange(1, 2),
                "",
                List.of(SAVE),
                List.of(),
                new Capabilities.KeyCapacity(0, 110, 0, 0))));
    assertEquals(
        "100 keys are known here, and there is room for 109 there",
        against(
            serves,
            terms(
                new VersionRange(1, 2),
                "",
                List.of(SAVE),
                List.of(),
                new Capabilities.KeyCapacity(0, 109, 0, 0))));
    Capabilities full =
        terms(
            new VersionRange(1, 2),
            "",
            List.of(SAVE),
            List.of(),
            new Capabilities.KeyCapacity(1000, 1000, 0, 0));
    assertNull(against(full, full), "a full table goes along");
  }

  @Test
  void aLaterFormatAloneHasNoGroundWithThisOne() {
    Capabilities later = terms(new VersionRange(3, 4), "", List.of(SAVE), List.of(), ROOM);
    assertEquals(
        "the hand-over's words have no version in common: 1-2 here, 3-4 there",
        against(plain(SAVE), later));
  }

  @Test
  void whatIsKnownIsStretchedByTheLongestDifference() {
    Capabilities longer = plain(READ, new Capabilities.RequestClass("save", true, 20_500));
    assertEquals(8.5, CompatibilityCheck.windowExtensionSeconds(plain(READ, SAVE), longer));
    assertEquals(0, CompatibilityCheck.windowExtensionSeconds(longer, plain(READ, SAVE)));
  }

  @Property(tries = 200)
  void termsComeThroughAsTheyWereSaid(
      @ForAll @Size(max = 5) List<String> names, @ForAll @IntRange(min = 0) int figure)
      throws Exception {
    List<Capabilities.RequestClass> kinds = new ArrayList<>();
    names.forEach(name -> kinds.add(new Capabilities.RequestClass(name, figure % 2 == 0, figure)));
    Capabilities said =
        terms(
            new VersionRange(1, 2),
            "/a b\n%0A",
            kinds,
            names,
            new Capabilities.KeyCapacity(figure, 1, 2, 3));
    assertEquals(said, Capabilities.decode(said.encode()));
    assertEquals(
        said,
        Capabilities.decode(said.encode() + "later says more\n"),
        "what is not known is passed over");
  }

  @Test
  void whatIsNoTermsIsSaidInOneLine() {
    for (String bad :
        new String[] {
          "",
          "build",
          "build x\n",
          plain(SAVE).encode().replace("room 100", "room x"),
          plain(SAVE).encode().replace("keyed 12000", "locked 12000"),
          "build x\n".repeat(3000)
        }) {
      Capabilities.MalformedCapabilitiesException e =
          assertThrows(
              Capabilities.MalformedCapabilitiesException.class, () -> Capabilities.decode(bad));
      assertTrue(!e.getMessage().contains("\n"), e.getMessage());
    }
  }
}
