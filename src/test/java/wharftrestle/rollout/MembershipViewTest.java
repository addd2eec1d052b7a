package wharftrestle.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import wharftrestle.rollout.MembershipView.Reachability;

/** Who was heard when, by whom, and what that means. */
class MembershipViewTest {
  private final MembershipView members = new MembershipView(List.of("a", "b", "c"), 0);

  private void hear(String box, String incarnation, double from, double to) {
    for (double now = from; now <= to; now += 1) {
      members.onHeartbeat(box, incarnation, now);
      members.tick(now);
    }
  }

  private Reachability contact(String box) {
    return members.status(box).reachability();
  }

  @Test
  void silenceIsSuspectedThenGoneAndABoxThatIsHeardAgainIsBack() {
    hear("a", "1", 0, 5);
    assertTrue(members.isReachable("a"));
    members.tick(8);
    assertEquals(Reachability.SUSPECTED, contact("a"));
    assertEquals(List.of("a", "b", "c"), members.silentHosts(8));
    members.tick(22);
    assertEquals(Reachability.LOST, contact("a"));
    members.onHeartbeat("a", "2", 40);
    assertEquals(
        List.of(
            new MembershipView.Transition(
                "a", Reachability.LOST, Reachability.REACHABLE, "answered")),
        members.tick(40).stream().filter(each -> each.host().equals("a")).toList());
    assertEquals(1, members.status("a").rejoins(), "under the same name, as another start");
  }

  @Test
  void whoIsCutOffFromThisDriverAloneIsNotGone() {
    hear("a", "1", 0, 30);
    hear("b", "1", 0, 3);
    members.onIndirectProbe("b", "a", false, true, 30);
    members.tick(31);
    assertEquals(Reachability.PARTITIONED, contact("b"));
    assertEquals("a", members.status("b").witness());
    assertFalse(members.isReachable("b"), "its own answers do not count");
    members.tick(40);
    assertEquals(Reachability.LOST, contact("b"), "nobody has said so for long");
  }

  @Test
  void aWordThatNobodyHeardItSaysNothing() {
    hear("b", "1", 0, 3);
    members.onIndirectProbe("b", "a", false, false, 8);
    members.tick(9);
    assertEquals(Reachability.SUSPECTED, contact("b"));
  }

  @Test
  void twoKeepersUnderOneNameAreToldApartFromARestart() {
    hear("a", "1", 0, 5);
    hear("a", "2", 6, 10);
    assertEquals(Reachability.REACHABLE, contact("a"), "a start anew");
    members.onHeartbeat("a", "1", 11);
    members.onHeartbeat("a", "2", 12);
    assertEquals(Reachability.DUPLICATE, contact("a"));
    hear("a", "2", 13, 40);
    assertEquals(Reachability.REACHABLE, contact("a"), "the other one is silent for long");
  }

  @Test
  void nobodyKnowsABoxThatIsNoneOfTheFleet() {
    members.onHeartbeat("z", "1", 1);
    members.onIndirectProbe("z", "a", true, true, 1);
    assertEquals(null, members.status("z"));
    assertFalse(members.isReachable("z"));
  }
}
