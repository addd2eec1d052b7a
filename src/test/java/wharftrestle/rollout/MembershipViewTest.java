package wharftrestle.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import wharftrestle.rollout.MembershipView.Reachability;

/** What heartbeats, silence and indirect probes say of a host. */
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
  void aSilentHostIsSuspectedThenLostAndReachableAgainAfterAHeartbeat() {
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
        1, members.status("a").orElseThrow().rejoins(), "under the same name, as another start");
  }

  @Test
  void aHostThatOthersReachIsPartitionedAndNotLost() {
    sendHeartbeats("a", "1", 0, 30);
    sendHeartbeats("b", "1", 0, 3);
    members.onIndirectProbe("b", "a", false, true, 30);
    members.tick(31);
    assertEquals(Reachability.PARTITIONED, reachability("b"));
    assertEquals("a", members.status("b").orElseThrow().witness());
    assertFalse(members.isReachable("b"), "its own answers do not count");
    members.tick(40);
    assertEquals(Reachability.LOST, reachability("b"), "nobody has said so for long");
  }

  @Test
  void aFailedIndirectProbeChangesNothing() {
    sendHeartbeats("b", "1", 0, 3);
    members.onIndirectProbe("b", "a", false, false, 8);
    members.tick(9);
    assertEquals(Reachability.SUSPECTED, reachability("b"));
  }

  @Test
  void twoSupervisorsUnderOneNameAreToldApartFromARestart() {
    sendHeartbeats("a", "1", 0, 5);
    sendHeartbeats("a", "2", 6, 10);
    assertEquals(Reachability.REACHABLE, reachability("a"), "a start anew");
    members.onHeartbeat("a", "1", 11);
    members.onHeartbeat("a", "2", 12);
    assertEquals(Reachability.DUPLICATE, reachability("a"));
    sendHeartbeats("a", "2", 13, 40);
    assertEquals(Reachability.REACHABLE, reachability("a"), "the other one is silent for long");
  }

  @Test
  void aHostOutsideTheFleetIsIgnored() {
    members.onHeartbeat("z", "1", 1);
    members.onIndirectProbe("z", "a", true, true, 1);
    assertEquals(Optional.empty(), members.status("z"));
    assertFalse(members.isReachable("z"));
  }
}
