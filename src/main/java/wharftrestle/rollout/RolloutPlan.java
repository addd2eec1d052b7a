package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What is to be changed, how, and when it is stopped. It owns the rules of who may be away together
 * and the order in which boxes go; it must never be changed while it is carried out.
 *
 * @param to the release that all boxes are to have
 * @param boxes all boxes of the fleet, in the order they are listed
 * @param stages in their order, each with more boxes than the one before
 * @param limits by how much the new release may do worse, by measure
 * @param errors probability that a release that does no worse is stopped, over all stages and
 *     measures
 * @param mostAway boxes that are changing at once, at most
 * @param tries of one box, until it is left as it is
 * @param warm seconds after a daemon's start in which its figures do not count
 * @param patience seconds for which a verdict is waited for beyond a stage's hold
 * @param whenCut with boxes out of contact, or with too few that answer
 * @param whenWorse with a stage that does worse
 */
public record RolloutPlan(
    String to,
    List<Box> boxes,
    List<Stage> stages,
    Map<CanaryMetric, Double> limits,
    double errors,
    int mostAway,
    int tries,
    double warm,
    double patience,
    WhenCut whenCut,
    WhenWorse whenWorse) {

  /**
   * One box.
   *
   * @param zone empty for none
   * @param keeper where its keeper answers, HOST:PORT
   * @param tenants whose traffic it owns; empty where all boxes serve all
   */
  public record Box(String name, String zone, String keeper, List<String> tenants) {}

  /**
   * One stage: so many boxes in all have the release at its end.
   *
   * @param boxes in all; 0 where a share is given
   * @param share of the fleet, over 0 to 1; 0 where a number is given
   * @param spread boxes of all zones in turn, instead of the listed order
   * @param hold seconds for which the stage is watched once all of its boxes have the release
   */
  public record Stage(int boxes, double share, boolean spread, double hold) {
    /** Boxes in all at its end. */
    public int target(int fleet) {
      return boxes > 0 ? Math.min(boxes, fleet) : (int) Math.ceil(share * fleet - 1e-9);
    }
  }

  /** What is done where boxes cannot be reached. */
  public enum WhenCut {
    HOLD,
    GO
  }

  /** What is done where a stage does worse. */
  public enum WhenWorse {
    BACK,
    HOLD
  }

  /** Boxes of a zone under which no two of it may be away together. */
  static final int SMALL_ZONE = 4;

  /** A box, when it goes, and why then. */
  public record Turn(int stage, int round, Box box, String why) {}

  /** Who goes when, and what cannot be met. */
  public record Order(List<Turn> turns, List<String> unmet) {}

  /** The box of this name; null for none. */
  public Box box(String name) {
    return boxes.stream().filter(each -> each.name().equals(name)).findFirst().orElse(null);
  }

  /** Boxes of this zone. */
  int zone(String name) {
    return (int) boxes.stream().filter(each -> each.zone().equals(name)).count();
  }

  /** True where no further box owns a tenant of this one: it is never changed by a roll. */
  public boolean lastOwner(Box box) {
    return box.tenants().stream()
        .anyMatch(
            tenant -> boxes.stream().filter(each -> each.tenants().contains(tenant)).count() < 2);
  }

  /** Boxes that a roll may change. */
  public int movable() {
    return (int) boxes.stream().filter(each -> !lastOwner(each)).count();
  }

  /** Why this box may not go while these are away; empty where it may. */
  public String against(Box box, Set<String> away) {
    if (away.size() >= mostAway) {
      return away.size() + " are away, which is the most";
    }
    boolean small = !box.zone().isEmpty() && zone(box.zone()) < SMALL_ZONE;
    for (String name : away) {
      Box other = box(name);
      if (small && other != null && other.zone().equals(box.zone())) {
        return name + " of the same small zone is away";
      }
    }
    for (String tenant : box.tenants()) {
      @SuppressWarnings("ReferenceEquality") // box is one of these very objects
      boolean served =
          boxes.stream()
              .anyMatch(
                  each ->
                      each != box
                          && each.tenants().contains(tenant)
                          && !away.contains(each.name()));
      if (!served) {
        return "no other box that is there owns " + tenant;
      }
    }
    return "";
  }

  /**
   * All movable boxes in the order in which stage {@code at} takes them on, given those that have
   * gone.
   */
  List<Box> wanted(int at, Set<String> gone) {
    List<Box> left = new ArrayList<>();
    for (Box box : boxes) {
      if (!gone.contains(box.name()) && !lastOwner(box)) {
        left.add(box);
      }
    }
    if (!stages.get(at).spread()) {
      return left;
    }
    Map<String, Integer> taken = new LinkedHashMap<>();
    for (Box box : boxes) {
      taken.merge(box.zone(), gone.contains(box.name()) ? 1 : 0, Integer::sum);
    }
    List<Box> order = new ArrayList<>();
    while (!left.isEmpty()) {
      Box next = null;
      double least = Double.POSITIVE_INFINITY;
      for (Box box : left) {
        double part = (double) taken.get(box.zone()) / zone(box.zone());
        if (part < least - 1e-12) {
          least = part;
          next = box;
        }
      }
      left.remove(next);
      taken.merge(next.zone(), 1, Integer::sum);
      order.add(next);
    }
    return order;
  }

  /** Who goes when if all goes well, and what of the plan cannot be met. */
  public Order order() {
    List<Turn> turns = new ArrayList<>();
    List<String> unmet = new ArrayList<>();
    Set<String> gone = new LinkedHashSet<>();
    for (Box box : boxes) {
      if (lastOwner(box)) {
        unmet.add(
            box.name() + " stays as it is: no other box owns " + String.join(", ", box.tenants()));
      }
    }
    for (int at = 0; at < stages.size(); at++) {
      int target = Math.min(stages.get(at).target(boxes.size()), movable());
      if (stages.get(at).target(boxes.size()) > movable()) {
        unmet.add(
            "stage "
                + (at + 1)
                + " reaches "
                + movable()
                + " of "
                + stages.get(at).target(boxes.size())
                + " boxes");
      }
      int round = 0;
      while (gone.size() < target) {
        Set<String> away = new LinkedHashSet<>();
        String why =
            stages.get(at).spread() ? "its zone has the least of the new release" : "as listed";
        for (Box box : wanted(at, gone)) {
          if (gone.size() + away.size() < target && against(box, away).isEmpty()) {
            away.add(box.name());
            turns.add(new Turn(at, round, box, why));
          }
        }
        if (away.isEmpty()) {
          unmet.add(
              "stage "
                  + (at + 1)
                  + " stops at "
                  + gone.size()
                  + " of "
                  + target
                  + " boxes: "
                  + against(wanted(at, gone).get(0), Set.of()));
          break;
        }
        gone.addAll(away);
        round++;
      }
    }
    return new Order(List.copyOf(turns), List.copyOf(unmet));
  }
}
