package wharftrestle.rollout.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import wharftrestle.rollout.EpochFence;
import wharftrestle.rollout.HostSample;
import wharftrestle.rollout.Rollout;
import wharftrestle.rollout.RolloutPlan;

/**
 * What a driver last heard of one box: it reads the keeper's words and gives them as the decisions
 * take them. It must never take what a keeper obeyed in another epoch for an answer to this one.
 */
final class HostView {
  /** A box at the edge of a window. */
  private record Edge(JsonNode box, double at) {}

  private final RolloutPlan.Box box;
  private JsonNode shown = MissingNode.getInstance();
  private EpochFence.Kept fence = EpochFence.Kept.NONE;
  private String incarnation = "";
  private Edge edge;
  private JsonNode deaths = MissingNode.getInstance();

  HostView(RolloutPlan.Box box) {
    this.box = box;
  }

  /**
   * Takes what a keeper said; the releases whose daemons have died since the last word, one for
   * each death.
   */
  List<String> take(SupervisorClient.Heard heard) {
    JsonNode now = heard.whole().path("box");
    JsonNode died = now.path("deaths");
    String start = heard.whole().path("incarnation").asText();
    List<String> releases = new ArrayList<>();
    boolean same = start.equals(incarnation);
    died.fields()
        .forEachRemaining(
            each -> {
              int before = same ? deaths.path(each.getKey()).asInt() : each.getValue().asInt();
              for (int i = before; i < each.getValue().asInt(); i++) {
                releases.add(each.getKey());
              }
            });
    deaths = died;
    incarnation = start;
    shown = now;
    fence = heard.said().kept();
    return releases;
  }

  String incarnation() {
    return incarnation;
  }

  /** The release that its daemon is; empty for none known. */
  String acts() {
    return shown.path("acts").asText();
  }

  String state() {
    return shown.path("state").asText("unknown");
  }

  String failed() {
    return shown.path("failed").asText();
  }

  /** As a roll sees it, in this epoch. */
  Rollout.Shows shows(boolean contact, long epoch) {
    boolean ours = fence.epoch() == epoch && !fence.target().isEmpty();
    // A keeper writes an order down before it carries it out: until then nothing that it shows is
    // an answer to it.
    boolean carried =
        ours
            && shown.path("told").asText().equals(fence.target())
            && shown.path("attempt").asInt() == fence.attempt();
    return new Rollout.Shows(
        contact,
        acts(),
        shown.path("settled").asBoolean(),
        ours ? fence.target() : "",
        !ours ? 0 : carried ? fence.attempt() : fence.attempt() - 1,
        carried ? failed() : "");
  }

  /**
   * What it did since the last edge of a window, which this is; null where it said too little.
   *
   * @param warm seconds of a daemon's life that do not count
   */
  HostSample window(boolean contact, String to, double warm, double now) {
    Edge last = edge;
    edge = new Edge(shown, now);
    if (last == null || !shown.has("pid") || !last.box().has("pid")) {
      return null;
    }
    JsonNode before = last.box();
    double span = now - last.at();
    boolean same =
        before.path("pid").asLong() == shown.path("pid").asLong()
            && before.path("acts").asText().equals(acts());
    boolean steady =
        contact
            && same
            && shown.path("settled").asBoolean()
            && before.path("settled").asBoolean()
            && shown.path("up").asDouble() - span >= warm;
    List<HostSample.Counts> classes = new ArrayList<>();
    for (int i = 0; same && i < shown.path("classes").size(); i++) {
      JsonNode a = before.path("classes").path(i);
      JsonNode b = shown.path("classes").path(i);
      classes.add(
          new HostSample.Counts(
              b.path("name").asText(),
              grown(a, b, "asked"),
              grown(a, b, "served"),
              grown(a, b, "late"),
              grown(a, b, "refused"),
              grown(a, b, "failed"),
              b.path("worth").asDouble(),
              b.path("lateWorth").asDouble()));
    }
    return new HostSample(
        box.name(),
        box.zone(),
        acts().equals(to),
        steady,
        classes,
        grown(before, shown, "calls"),
        grown(before, shown, "badCalls"),
        shown.path("cpu").asDouble() - before.path("cpu").asDouble(),
        shown.path("ownMb").asDouble(),
        (shown.path("ownMb").asDouble() - before.path("ownMb").asDouble()) * 60 / span);
  }

  private static long grown(JsonNode before, JsonNode after, String what) {
    return Math.max(0, after.path(what).asLong() - before.path(what).asLong());
  }

  /** The classes it told of. */
  List<String> classes() {
    List<String> names = new ArrayList<>();
    shown.path("classes").forEach(each -> names.add(each.path("name").asText()));
    return names;
  }
}
