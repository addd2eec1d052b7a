package wharftrestle.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;
import wharftrestle.io.BoundedTransfers;
import wharftrestle.simulator.MalformedLineException;
import wharftrestle.simulator.SettingsReader;
import wharftrestle.transport.Address;

/**
 * The configuration of the daemon: the platform's configuration file and the Unix socket of the
 * handover. {@code settings} holds the operators' settings, in the records below. Missing or wrong
 * values are not replaced by defaults of this class's own but reported in one line, as a {@link
 * BadConfigException}. {@code db} is null at a site without dependency calls; {@code cores}, {@code
 * sockets} and {@code memoryMb} are limits of this process, not of the worker pool.
 */
public record DaemonConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress pool,
    InetSocketAddress db,
    InetSocketAddress naming,
    InetSocketAddress console,
    long seed,
    double stopSeconds,
    double cores,
    int sockets,
    double memoryMb,
    Path meeting,
    AdmissionSettings settings) {

  /** A configuration that cannot be used. */
  public static final class BadConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    public BadConfigException(String message) {
      super(message);
    }
  }

  /** Longest configuration file; one with thousands of tenants is shorter. */
  private static final int MAX_FILE_BYTES = 1 << 20;

  /** Default of the kB reserved for a uwsgi request in flight. */
  public static final double HELD_KB = 24;

  /**
   * Settings of the results that are kept across restarts.
   *
   * @param folder directory on a persistent disk
   * @param most maximum bytes on disk
   * @param keys maximum number of keys
   * @param queue maximum bytes that wait for the disk
   * @param patience seconds without a completed write after which the disk counts as stalled
   * @param sync "group", "each" or "none"
   */
  public record Durable(
      Path folder, long most, int keys, int queue, double patience, String sync) {}

  /** Endpoints that the operators' settings open besides the platform's front end; null if off. */
  public record Appliance(
      InetSocketAddress uwsgi,
      InetSocketAddress control,
      InetSocketAddress snmp,
      String community,
      double heldKb,
      Durable durable) {
    public Appliance(
        InetSocketAddress uwsgi,
        InetSocketAddress control,
        InetSocketAddress snmp,
        String community,
        double heldKb) {
      this(uwsgi, control, snmp, community, heldKb, null);
    }

    /** Only the platform's front end, as on the platform. */
    public static Appliance none() {
      return new Appliance(null, null, null, "public", HELD_KB, null);
    }
  }

  /**
   * Returns all settings of a daemon in a canonical text, independent of how they were written;
   * addresses of other services and seeds are not settings. The text is built by hand, because the
   * generated {@code toString} of records costs a tenth of a second of CPU at each start.
   */
  public String canonical(Appliance appliance) {
    StringBuilder text = new StringBuilder(1024);
    AdmissionSettings s = settings;
    appendValues(
        text,
        stopSeconds,
        cores,
        sockets,
        memoryMb,
        s.fleet().hosts(),
        s.fleet().callers(),
        s.capacity().cores(),
        s.capacity().memoryKb(),
        s.capacity().executionMemoryFactor(),
        s.capacity().keyMemoryKb(),
        s.timing().resultSharingSeconds(),
        s.calls().quota(),
        s.calls().quotaWindowSeconds(),
        s.calls().abandonedSeconds(),
        s.timing().answerSlackSeconds(),
        s.timing().drainGraceSeconds(),
        s.capacity().survivableConcurrencyPerCore(),
        s.capacity().concurrencyWindowSeconds(),
        s.warmUp().coldSpeedFraction(),
        s.warmUp().seconds(),
        s.retries().maxRetryAfterSeconds(),
        s.weighting().overQuota(),
        s.timing().tickSeconds());
    text.append(s.capacity().preemption()).append(' ').append(s.calls().dependency()).append(' ');
    appendValues(
        text,
        s.fleet().notifiesCallerGone(),
        s.fleet().healthChecksExecute(),
        s.fleet().endpointListFollowsHealth(),
        s.weighting().perWork(),
        s.retries().marked());
    for (Admission.RequestClass each : s.classes()) {
      text.append('\n')
          .append(each.name())
          .append(' ')
          .append(idempotencyName(each.idempotency()))
          .append(' ');
      appendValues(text, each.callsDependency());
      appendValues(
          text,
          each.latencyObjectiveSeconds(),
          each.latencyObjectiveStretch(),
          each.deadlineSeconds(),
          each.weight(),
          each.weightAfterObjective(),
          each.idempotencyWindowSeconds(),
          each.weightWithoutCall());
    }
    for (Admission.Tenant each : s.tenants()) {
      text.append('\n').append(each.name()).append(' ');
      appendValues(text, each.quotaPerSecond(), each.serviceFraction());
    }
    text.append('\n').append(s.gauges());
    text.append('\n')
        .append(appliance.uwsgi())
        .append(' ')
        .append(appliance.control())
        .append(' ')
        .append(appliance.snmp())
        .append(' ')
        .append(appliance.community())
        .append(' ')
        .append(appliance.heldKb());
    Durable durable = appliance.durable();
    if (durable != null) {
      text.append('\n').append(durable.folder()).append(' ').append(durable.sync()).append(' ');
      appendValues(
          text, (double) durable.most(), durable.keys(), durable.queue(), durable.patience());
    }
    return text.toString();
  }

  /**
   * Names of the idempotency values in the canonical text; they must stay the same across releases.
   */
  private static String idempotencyName(Admission.Idempotency idempotency) {
    return switch (idempotency) {
      case IDEMPOTENT -> "SAFE";
      case IDEMPOTENCY_KEY -> "KEYED";
      case NON_IDEMPOTENT -> "UNSAFE";
    };
  }

  private static void appendValues(StringBuilder text, double... numbers) {
    for (double number : numbers) {
      text.append(number).append(' ');
    }
  }

  private static void appendValues(StringBuilder text, boolean... flags) {
    for (boolean flag : flags) {
      text.append(flag).append(' ');
    }
  }

  /**
   * Reads the bytes of a configuration file.
   *
   * @throws wharftrestle.io.FileTooLargeException if it is longer than any configuration
   */
  public static byte[] readFile(Path file) throws IOException {
    return BoundedTransfers.readFile(file, MAX_FILE_BYTES);
  }

  public static DaemonConfig read(Map<String, String> environment) throws BadConfigException {
    String file = environment.get("EDGE_CONFIG");
    if (file == null || file.isEmpty()) {
      throw new BadConfigException("EDGE_CONFIG names no configuration file");
    }
    JsonNode root;
    try {
      root = new ObjectMapper().readTree(readFile(Path.of(file)));
    } catch (JsonProcessingException e) {
      throw new BadConfigException("the configuration is no JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new BadConfigException("the configuration cannot be read: " + e.getMessage());
    }
    String name = environment.getOrDefault("EDGE_NAME", root.path("name").asText());
    String listen = environment.getOrDefault("EDGE_LISTEN", root.path("listen").asText());
    String console =
        environment.getOrDefault("EDGE_CONSOLE", "").isBlank()
            ? root.path("console").asText()
            : environment.get("EDGE_CONSOLE");
    try {
      AdmissionSettings settings = SettingsReader.read(root.get("settings"));
      return new DaemonConfig(
          name,
          address("listen", listen),
          address("pool", root.path("pool").asText()),
          dependencyAddress(root.path("db"), settings),
          address("naming", root.path("naming").asText()),
          console.isBlank() ? null : address("console", console.trim()),
          Long.parseUnsignedLong(root.path("seed").asText("0"), 16),
          root.path("stop_ms").asDouble(3000) / 1000,
          root.path("limits").path("cores").asDouble(1),
          root.path("limits").path("sockets").asInt(1024),
          root.path("limits").path("memory_mb").asDouble(192),
          handoverSocket(environment.get("TMPDIR"), name),
          settings);
    } catch (NumberFormatException e) {
      throw new BadConfigException("the configuration's 'seed' is no hexadecimal number");
    } catch (MalformedLineException e) {
      throw new BadConfigException("the configuration's settings: " + e.getMessage());
    }
  }

  /**
   * Returns the store's address; null if there is none and the settings have no dependency calls.
   */
  private static InetSocketAddress dependencyAddress(JsonNode node, AdmissionSettings settings)
      throws BadConfigException {
    return node.asText("").isBlank() && settings.calls().dependency() == Admission.Dependency.NONE
        ? null
        : address("db", node.asText());
  }

  /**
   * Returns the Unix socket of the handover; null if there is no directory for it, and then no
   * handover is possible.
   */
  private static Path handoverSocket(String folder, String name) {
    return folder == null || folder.isBlank()
        ? null
        : Path.of(folder, "wharftrestle-" + name.replaceAll("[^A-Za-z0-9_.-]", "_") + ".sock");
  }

  /** Parses HOST:PORT with a numeric host; names are never resolved. */
  public static InetSocketAddress address(String key, String text) throws BadConfigException {
    InetSocketAddress address = Address.of(text);
    if (address == null) {
      throw new BadConfigException("'" + key + "' is no address: '" + text + "'");
    }
    return address;
  }
}
