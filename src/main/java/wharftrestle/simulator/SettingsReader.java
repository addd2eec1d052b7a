package wharftrestle.simulator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;

/**
 * Reads the settings object of a start. What is absent is 0, false or empty; unknown keys are
 * skipped.
 */
public final class SettingsReader {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private SettingsReader() {}

  static AdmissionSettings read(String json) throws MalformedLineException {
    JsonNode root;
    try {
      root = MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      throw new MalformedLineException("unreadable settings: " + e.getOriginalMessage());
    }
    return read(root);
  }

  /** The same from JSON that was read already. */
  public static AdmissionSettings read(JsonNode root) throws MalformedLineException {
    if (root == null || !root.isObject()) {
      throw new MalformedLineException("the settings are no object");
    }
    JsonNode own = need(root, "specifics");
    JsonNode rules = need(root, "obligations");
    JsonNode limits = root.path("ceilings");
    List<Admission.Tenant> tenants = new ArrayList<>();
    for (JsonNode t : root.path("tenants")) {
      tenants.add(
          new Admission.Tenant(
              t.path("name").asText(),
              t.path("allowancePerS").asDouble(),
              t.path("portion").asDouble()));
    }
    List<String> gauges = new ArrayList<>();
    own.path("gauges").forEach(g -> gauges.add(g.asText()));
    return new AdmissionSettings(
        classes(need(root, "categories"), own),
        List.copyOf(tenants),
        new AdmissionSettings.Fleet(
            root.path("peersTotal").asInt(),
            own.path("callers").asInt(),
            own.path("tellsGone").asBoolean(),
            own.path("realChecks").asBoolean(),
            own.path("listFollows").asBoolean()),
        new AdmissionSettings.Capacity(
            need(own, "nCores").asInt(),
            need(own, "memoryKb").asDouble(),
            own.path("runFactor").asDouble(1),
            own.path("keyKb").asDouble(),
            preemption(own),
            need(rules, "tipMultiple").asDouble(),
            rules.path("fall").asDouble()),
        new AdmissionSettings.WarmUp(
            own.path("justStarted").asBoolean(),
            rules.path("coldFrom").asDouble(1),
            rules.path("cold").asDouble()),
        new AdmissionSettings.DependencyCalls(
            downstream(own),
            own.path("callShare").asDouble(),
            own.path("callsOver").asDouble(),
            own.path("linger").asDouble()),
        new AdmissionSettings.Timing(
            root.path("tick").asDouble(),
            rules.path("answerSlack").asDouble(),
            rules.path("drainGrace").asDouble(),
            own.path("shareFor").asDouble()),
        new AdmissionSettings.Retries(
            limits.path("retryAfter").asBoolean() ? limits.path("maxRetryAfter").asDouble() : 0,
            root.path("clients").path("marksRetry").asBoolean()),
        new AdmissionSettings.Weighting(
            root.path("worthBy").asText().equals("work"), root.path("overShareWorth").asDouble(1)),
        List.copyOf(gauges));
  }

  private static List<Admission.RequestClass> classes(JsonNode nodes, JsonNode own)
      throws MalformedLineException {
    List<Admission.RequestClass> classes = new ArrayList<>();
    for (JsonNode c : nodes) {
      int i = classes.size();
      String repeat = need(c, "repeat").asText();
      classes.add(
          new Admission.RequestClass(
              c.path("name").asText(),
              need(c, "slo").asDouble(),
              c.path("aimStretch").asDouble(),
              need(c, "deadline").asDouble(),
              c.path("importance").asDouble(1),
              c.path("lateWorth").asDouble(),
              switch (repeat) {
                case "read_like" -> Admission.Idempotency.IDEMPOTENT;
                case "idempotency_key" -> Admission.Idempotency.IDEMPOTENCY_KEY;
                case "non_idempotent" -> Admission.Idempotency.NON_IDEMPOTENT;
                default -> throw new MalformedLineException("unknown repeat '" + repeat + "'");
              },
              c.path("memorySpan").asDouble(),
              own.path("classCalls").path(i).asBoolean(),
              own.path("classSkipWorth").path(i).asDouble()));
    }
    return List.copyOf(classes);
  }

  private static Admission.Preemption preemption(JsonNode own) {
    return switch (own.path("preemption").asText()) {
      case "drop" -> Admission.Preemption.DROP;
      case "pause" -> Admission.Preemption.PAUSE;
      default -> Admission.Preemption.NONE;
    };
  }

  private static Admission.Dependency downstream(JsonNode own) {
    return switch (own.path("downstream").asText()) {
      case "shared" -> Admission.Dependency.SHARED;
      case "tier" -> Admission.Dependency.TIER;
      default -> Admission.Dependency.NONE;
    };
  }

  private static JsonNode need(JsonNode node, String key) throws MalformedLineException {
    JsonNode value = node.get(key);
    if (value == null || value.isNull()) {
      throw new MalformedLineException("the settings lack '" + key + "'");
    }
    return value;
  }
}
