package wharftrestle.rollout.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/** Formats a rollout's published status for a terminal. */
final class StatusTable {
  private static final String HOST_ROW = "%-16s %-10s %-16s %-10s %-10s %s%n";
  private static final String METRIC_ROW = "%-9s %-14s %9s %9s %9s %9s %8s%n";

  private StatusTable() {}

  /** Formats a status that was read from the journal. */
  static String ofJournal(JsonNode status) {
    return format(
        "rollout of plan %s: %s%s%nstage %d, epoch %d by %s;"
            + " no controller is running, read from its journal",
        status.path("plan").asText(),
        status.path("state").asText(),
        reason(status),
        status.path("stage").asInt(),
        status.path("epoch").asLong(),
        status.path("driver").asText());
  }

  /** Formats the status of a running controller. */
  static String live(JsonNode status) {
    StringBuilder text = new StringBuilder(header(status));
    text.append(format("%n" + HOST_ROW, "host", "zone", "runs", "supervisor", "contact", "note"));
    status.path("boxes").forEach(host -> text.append(hostRow(host)));
    text.append(
        format("%n" + METRIC_ROW, "metric", "of", "loss", "from", "to", "limit", "windows"));
    status.path("measures").forEach(metric -> text.append(metricRow(metric)));
    return text.toString();
  }

  private static String header(JsonNode status) {
    return format(
        "rollout to %s: %s%s%nstage %d of %d, epoch %d by %s (%s)%nverdict %s: %s%n",
        status.path("to").asText(),
        status.path("state").asText(),
        reason(status),
        status.path("stage").asInt(),
        status.path("stages").asInt(),
        status.path("epoch").asLong(),
        status.path("driver").asText(),
        status.path("steering").asText(),
        status.path("verdict").asText(),
        status.path("verdictWhy").asText());
  }

  private static String reason(JsonNode status) {
    String reason = status.path("why").asText();
    return reason.isEmpty() ? "" : ", " + reason;
  }

  private static String hostRow(JsonNode host) {
    return format(
        HOST_ROW,
        host.path("box").asText(),
        host.path("zone").asText(),
        host.path("acts").asText(),
        host.path("state").asText(),
        host.path("contact").asText(),
        note(host));
  }

  private static String note(JsonNode host) {
    String failure = host.path("failed").asText();
    String witness = host.path("witness").asText();
    boolean isReachable = host.path("contact").asText().equals("heard");
    return failure.isEmpty() && !isReachable && !witness.isEmpty()
        ? witness + " reaches it"
        : failure;
  }

  private static String metricRow(JsonNode metric) {
    return format(
        METRIC_ROW,
        metric.path("measure").asText(),
        metric.path("about").asText(),
        number(metric.path("loss")),
        number(metric.path("least")),
        number(metric.path("most")),
        number(metric.path("limit")),
        metric.path("windows").asLong());
  }

  private static String number(JsonNode value) {
    return value.isNumber() ? format("%.4f", value.asDouble()) : "-";
  }

  @SuppressWarnings("AnnotateFormatMethod")
  private static String format(String pattern, Object... values) {
    return String.format(Locale.ROOT, pattern, values);
  }
}
