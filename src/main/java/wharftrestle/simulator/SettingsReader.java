package wharftrestle.simulator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;

/**
 * Reads the settings of the admission module from JSON. Optional values default to 0, false or
 * empty, except where a default is passed below; unknown keys are ignored.
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

  /** Reads the settings from parsed JSON. */
  public static AdmissionSettings read(JsonNode root) throws MalformedLineException {
    if (root == null || !root.isObject()) {
      throw new MalformedLineException("the settings are not a JSON object");
    }
    JsonNode specifics = require(root, "specifics");
    JsonNode obligations = require(root, "obligations");
    JsonNode ceilings = root.path("ceilings");
    List<Admission.Tenant> tenants = new ArrayList<>();
    for (JsonNode tenant : root.path("tenants")) {
      tenants.add(
          new Admission.Tenant(
              tenant.path("name").asText(),
              tenant.path("allowancePerS").asDouble(),
              tenant.path("portion").asDouble()));
    }
    List<String> gauges = new ArrayList<>();
    specifics.path("gauges").forEach(gauge -> gauges.add(gauge.asText()));
    return new AdmissionSettings(
        classes(require(root, "categories"), specifics),
        List.copyOf(tenants),
        new AdmissionSettings.Fleet(
            root.path("peersTotal").asInt(),
            specifics.path("callers").asInt(),
            specifics.path("tellsGone").asBoolean(),
            specifics.path("realChecks").asBoolean(),
            specifics.path("listFollows").asBoolean()),
        new AdmissionSettings.Capacity(
            require(specifics, "nCores").asInt(),
            require(specifics, "memoryKb").asDouble(),
            specifics.path("runFactor").asDouble(1),
            specifics.path("keyKb").asDouble(),
            preemption(specifics),
            require(obligations, "tipMultiple").asDouble(),
            obligations.path("fall").asDouble()),
        new AdmissionSettings.WarmUp(
            specifics.path("justStarted").asBoolean(),
            obligations.path("coldFrom").asDouble(1),
            obligations.path("cold").asDouble()),
        new AdmissionSettings.DependencyCalls(
            dependency(specifics),
            specifics.path("callShare").asDouble(),
            specifics.path("callsOver").asDouble(),
            specifics.path("linger").asDouble()),
        new AdmissionSettings.Timing(
            root.path("tick").asDouble(),
            obligations.path("answerSlack").asDouble(),
            obligations.path("drainGrace").asDouble(),
            specifics.path("shareFor").asDouble()),
        new AdmissionSettings.Retries(
            ceilings.path("retryAfter").asBoolean() ? ceilings.path("maxRetryAfter").asDouble() : 0,
            root.path("clients").path("marksRetry").asBoolean()),
        new AdmissionSettings.Weighting(
            root.path("worthBy").asText().equals("work"), root.path("overShareWorth").asDouble(1)),
        List.copyOf(gauges));
  }

  private static List<Admission.RequestClass> classes(JsonNode nodes, JsonNode specifics)
      throws MalformedLineException {
    List<Admission.RequestClass> classes = new ArrayList<>();
    for (JsonNode node : nodes) {
      int index = classes.size();
      String repeat = require(node, "repeat").asText();
      classes.add(
          new Admission.RequestClass(
              node.path("name").asText(),
              require(node, "slo").asDouble(),
              node.path("aimStretch").asDouble(),
              require(node, "deadline").asDouble(),
              node.path("importance").asDouble(1),
              node.path("lateWorth").asDouble(),
              switch (repeat) {
                case "read_like" -> Admission.Idempotency.IDEMPOTENT;
                case "idempotency_key" -> Admission.Idempotency.IDEMPOTENCY_KEY;
                case "non_idempotent" -> Admission.Idempotency.NON_IDEMPOTENT;
                default -> throw new MalformedLineException("unknown repeat '" + repeat + "'");
              },
              node.path("memorySpan").asDouble(),
              specifics.path("classCalls").path(index).asBoolean(),
              specifics.path("classSkipWorth").path(index).asDouble()));
    }
    return List.copyOf(classes);
  }

  private static Admission.Preemption preemption(JsonNode specifics) {
    return switch (specifics.path("preemption").asText()) {
      case "drop" -> Admission.Preemption.DROP;
      case "pause" -> Admission.Preemption.PAUSE;
      default -> Admission.Preemption.NONE;
    };
  }

  private static Admission.Dependency dependency(JsonNode specifics) {
    return switch (specifics.path("downstream").asText()) {
      case "shared" -> Admission.Dependency.SHARED;
      case "tier" -> Admission.Dependency.TIER;
      default -> Admission.Dependency.NONE;
    };
  }

  private static JsonNode require(JsonNode node, String key) throws MalformedLineException {
    JsonNode value = node.get(key);
    if (value == null || value.isNull()) {
      throw new MalformedLineException("missing key '" + key + "' in the settings");
    }
    return value;
  }
}
