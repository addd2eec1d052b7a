package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which boxes there are and who was heard when, by whom. It must never take silence for death: a
 * box that this driver does not hear may serve its callers, and others may hear it. Time is passed
 * in, in seconds on a clock that never goes back.
 *
 * <pre>
 * contact    means                                                         goes to
 * NEVER      not heard yet                                                 HEARD, CUT_OFF
 * HEARD      answered within {@link #SUSPECT}                              SUSPECTED
 * SUSPECTED  silent, and nobody else has heard it of late                  HEARD, CUT_OFF, GONE
 * CUT_OFF    silent here, heard by another box or serving its callers      HEARD, SUSPECTED
 * GONE       silent for {@link #GONE_AFTER}, to all that were asked        HEARD, CUT_OFF
 * DOUBLE     two keepers answer under this name in turn                    HEARD, once one of them is silent
 * </pre>
 */
public final class MembershipView {

  /** How a box is in contact; the table says what each means. */
  public enum Contact {
    NEVER,
    HEARD,
    SUSPECTED,
    CUT_OFF,
    GONE,
    DOUBLE
  }

  /** Seconds of silence after which a box is suspected, and others are asked for it. */
  public static final double SUSPECT = 2.5;

  /** Seconds of silence to all after which it counts as gone; it may still come back. */
  public static final double GONE_AFTER = 15;

  /** Seconds for which another box's word counts. */
  private static final double WORD = 5;

  /**
   * What is known of one box.
   *
   * @param heardAt by this driver; negative infinity for never
   * @param incarnation of its keeper: a start of it; empty for none
   * @param witness who heard it last besides; empty for nobody
   * @param callers true where that one found it serving its callers
   * @param returns times it came back under the same name
   */
  public record Seen(
      Contact contact,
      double heardAt,
      String incarnation,
      String witness,
      boolean callers,
      int returns) {}

  /** A change of contact, for logs. */
  public record Change(String box, Contact from, Contact to, String why) {}

  private static final class One {
    private Contact contact = Contact.NEVER;
    private double heardAt = Double.NEGATIVE_INFINITY;
    private String incarnation = "";
    private String before = ""; // the incarnation heard before this one
    private double beforeAt = Double.NEGATIVE_INFINITY;
    private double doubleAt = Double.NEGATIVE_INFINITY;
    private String witness = "";
    private boolean callers;
    private double wordAt = Double.NEGATIVE_INFINITY;
    private int returns;
  }

  private final Map<String, One> all = new LinkedHashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final double began;

  public MembershipView(List<String> boxes, double now) {
    boxes.forEach(box -> all.put(box, new One()));
    began = now;
  }

  private void enter(String box, One one, Contact to, String why) {
    if (one.contact != to) {
      changes.add(new Change(box, one.contact, to, why));
      one.contact = to;
    }
  }

  /** A box's keeper answered this driver. */
  public void heard(String box, String incarnation, double now) {
    One one = all.get(box);
    if (one == null) {
      return; // no box of this fleet
    }
    if (!one.incarnation.isEmpty() && !incarnation.equals(one.incarnation)) {
      // Guards against two boxes under one name: a start is never heard again after the start that
      // followed it.
      if (incarnation.equals(one.before) && now - one.beforeAt <= GONE_AFTER) {
        one.doubleAt = now;
      } else {
        one.returns++;
      }
      one.before = one.incarnation;
      one.beforeAt = one.heardAt;
    }
    one.incarnation = incarnation;
    one.heardAt = now;
    if (now - one.doubleAt <= GONE_AFTER) {
      enter(box, one, Contact.DOUBLE, "two keepers answer under this name");
    } else {
      enter(box, one, Contact.HEARD, "answered");
    }
  }

  /** Another box says whether it can hear this one, and whether it serves its callers. */
  public void heardBy(String box, String witness, boolean heard, boolean callers, double now) {
    One one = all.get(box);
    if (one != null && (heard || callers)) {
      one.witness = witness;
      one.callers = callers;
      one.wordAt = now;
    }
  }

  /** A while has passed; what changed since the last look. */
  public List<Change> look(double now) {
    all.forEach(
        (box, one) -> {
          double silent = now - Math.max(one.heardAt, began);
          if (one.heardAt > Double.NEGATIVE_INFINITY && now - one.heardAt <= SUSPECT) {
            return;
          }
          if (now - one.wordAt <= WORD) {
            enter(
                box,
                one,
                Contact.CUT_OFF,
                one.witness + (one.callers ? " finds it serving" : " hears it"));
          } else if (silent > GONE_AFTER) {
            enter(box, one, Contact.GONE, "silent to all for " + Math.round(silent) + " s");
          } else if (silent > SUSPECT && one.contact != Contact.NEVER) {
            enter(box, one, Contact.SUSPECTED, "silent");
          }
        });
    List<Change> told = List.copyOf(changes);
    changes.clear();
    return told;
  }

  /** Boxes that others are to be asked for. */
  public List<String> silent(double now) {
    List<String> names = new ArrayList<>();
    all.forEach(
        (box, one) -> {
          if (now - Math.max(one.heardAt, began) > SUSPECT) {
            names.add(box);
          }
        });
    return names;
  }

  /** Boxes that can be asked for others: heard of late. */
  public List<String> witnesses(double now) {
    List<String> names = new ArrayList<>();
    all.forEach(
        (box, one) -> {
          if (now - one.heardAt <= SUSPECT) {
            names.add(box);
          }
        });
    return names;
  }

  /** What is known of a box; null where it is none of this fleet. */
  public Seen seen(String box) {
    One one = all.get(box);
    return one == null
        ? null
        : new Seen(
            one.contact, one.heardAt, one.incarnation, one.witness, one.callers, one.returns);
  }

  /** True where its answers count as of now. */
  public boolean inContact(String box) {
    One one = all.get(box);
    return one != null && one.contact == Contact.HEARD;
  }
}
