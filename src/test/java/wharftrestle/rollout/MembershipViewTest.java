package wharftrestle.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import wharftrestle.rollout.MembershipView.Reachability;

/** Tests the reachability of hosts after heartbeats, silence and indirect probes. */
class MembershipViewTest {
  private final MembershipView members = new MembershipView(List.of("a", "b", "c"), 0);

  private void sendHeartbeats(String host, String incarnation, double from, double to) {
    for (double now = from; now <= to; now += 1) {
      members.onHeartbeat(host, incarnation, now);
      members.tick(now);
    }
  }

  private Reachability reachability(String host) {
    return members.status(host).orElseThrow().reachability();
  }

  @Test
  void tick_silentHost_isSuspectedThenLostAndReachableAfterAHeartbeat() {
    sendHeartbeats("a", "1", 0, 5);
    assertTrue(members.isReachable("a"));
    members.tick(8);
    assertEquals(Reachability.SUSPECTED, reachability("a"));
    assertEquals(List.of("a", "b", "c"), members.silentHosts(8));
    members.tick(22);
    assertEquals(Reachability.LOST, reachability("a"));
    members.onHeartbeat("a", "2", 40);
    assertEquals(
        List.of(
            new MembershipView.Transition(
                "a", Reachability.LOST, Reachability.REACHABLE, "answered")),
        members.tick(40).stream().filter(each -> each.host().equals("a")).toList());
    assertEquals(
        1, members.status("a").orElseThrow().rejoins(), "the same name with another incarnation");
  }

  @Test
  void onIndirectProbe_silentHostThatServesClients_isPartitionedUntilTheProbeExpires() {
    sendHeartbeats("a", "1", 0, 30);
    sendHeartbeats("b", "1", 0, 3);
    members.onIndirectProbe("b", "a", false, true, 30);
    members.tick(31);
    assertEquals(Reachability.PARTITIONED, reachability("b"));
    assertEquals("a", members.status("b").orElseThrow().witness());
    assertFalse(members.isReachable("b"), "the controller itself has no current answer");
    members.tick(40);
    assertEquals(Reachability.LOST, reachability("b"), "the probe has expired");
  }

  @Test
  void onIndirectProbe_failedProbe_leavesHostSuspected() {
    sendHeartbeats("b", "1", 0, 3);
    members.onIndirectProbe("b", "a", false, false, 8);
    members.tick(9);
    assertEquals(Reachability.SUSPECTED, reachability("b"));
  }

  @Test
  void onHeartbeat_alternatingIncarnations_isDuplicateUnlikeARestart() {
    sendHeartbeats("a", "1", 0, 5);
    sendHeartbeats("a", "2", 6, 10);
    assertEquals(Reachability.REACHABLE, reachability("a"), "a restart");
    members.onHeartbeat("a", "1", 11);
    members.onHeartbeat("a", "2", 12);
    assertEquals(Reachability.DUPLICATE, reachability("a"));
    sendHeartbeats("a", "2", 13, 40);
    assertEquals(
        Reachability.REACHABLE,
        reachability("a"),
        "the other supervisor has been silent long enough");
  }

  @Test
  void onHeartbeat_hostOutsideTheFleet_isIgnored() {
    members.onHeartbeat("z", "1", 1);
    members.onIndirectProbe("z", "a", true, true, 1);
    assertEquals(Optional.empty(), members.status("z"));
    assertFalse(members.isReachable("z"));
  }
}
