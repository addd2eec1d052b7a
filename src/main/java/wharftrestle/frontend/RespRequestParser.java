package wharftrestle.frontend;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;
import wharftrestle.request.IncomingRequest;
import wharftrestle.time.SteadyWallClock;
import wharftrestle.transport.BoundedReader;

/** Parses the requests of the platform's protocol. Thread-safe. */
final class RespRequestParser {
  private static final int MAX_KEY_CHARS = 64;

  /** Memory reserved for a request is below this, in kB. */
  private static final double MEMORY_LIMIT_KB = 2000;

  /**
   * Maximum work announced for a request, ten hours in milliseconds; more is an error of the
   * sender.
   */
  private static final double MAX_CPU_MS = 36_000_000;

  /** Milliseconds by which the timestamp of a request may be ahead of this clock, and behind it. */
  private static final long MAX_AHEAD_MS = 1000;

  private static final long MAX_BEHIND_MS = 600_000;

  private static final Pattern REFERENCE = Pattern.compile("[0-9a-f]{16}");

  private final List<Admission.RequestClass> requestClasses;
  private final Map<String, Integer> classes = new HashMap<>();
  private final Map<String, Integer> tenants = new HashMap<>();

  RespRequestParser(AdmissionSettings settings) {
    requestClasses = settings.classes();
    for (int i = 0; i < requestClasses.size(); i++) {
      classes.put(requestClasses.get(i).name(), i);
    }
    for (int i = 0; i < settings.tenants().size(); i++) {
      tenants.put(settings.tenants().get(i).name(), i);
    }
  }

  /**
   * Parses a request and checks that each field is within the range of the protocol, as the
   * admission policy computes with them.
   */
  IncomingRequest parse(byte[][] parts) throws InvalidRequestException {
    if (parts.length < 4) {
      throw new InvalidRequestException("request without fields");
    }
    Map<String, String> fields = parseFields(RespFrontend.text(parts[3]));
    Integer classIndex = classes.get(RespFrontend.text(parts[2]));
    Integer tenantIndex = tenants.isEmpty() ? Integer.valueOf(0) : tenants.get(fields.get("team"));
    String reference = fields.getOrDefault("txn", "");
    if (classIndex == null || tenantIndex == null || !REFERENCE.matcher(reference).matches()) {
      throw new InvalidRequestException("unknown class or tenant, or no valid reference");
    }
    boolean isKeyed =
        requestClasses.get(classIndex).idempotency() == Admission.Idempotency.IDEMPOTENCY_KEY;
    String idempotencyKey = isKeyed ? fields.getOrDefault("unique", "") : null;
    String subject = fields.get("item");
    if ((isKeyed && (idempotencyKey.isEmpty() || idempotencyKey.length() > MAX_KEY_CHARS))
        || (subject != null && subject.length() > MAX_KEY_CHARS)) {
      throw new InvalidRequestException("idempotency key missing or too long, or subject too long");
    }
    double memoryKb;
    double rank;
    double expectedWorkMillis;
    long callerId;
    long arrivalUnixMillis;
    long retryFlag;
    try {
      memoryKb = BoundedReader.parseDecimal(fields.getOrDefault("ram", ""));
      rank = BoundedReader.parseDecimal(fields.getOrDefault("standing", ""));
      expectedWorkMillis = BoundedReader.parseDecimal(fields.getOrDefault("cpu", "0"));
      retryFlag = BoundedReader.number(fields.getOrDefault("second", "0"), Integer.MAX_VALUE);
      callerId = BoundedReader.number(fields.getOrDefault("lb", ""), Integer.MAX_VALUE);
      arrivalUnixMillis = BoundedReader.number(fields.getOrDefault("door", ""), Long.MAX_VALUE);
    } catch (IOException e) {
      throw new InvalidRequestException(e.getMessage());
    }
    long now = SteadyWallClock.wallMillis();
    if (memoryKb <= 0
        || memoryKb >= MEMORY_LIMIT_KB
        || rank < 0
        || rank >= 1
        || expectedWorkMillis < 0
        || expectedWorkMillis > MAX_CPU_MS
        || arrivalUnixMillis > now + MAX_AHEAD_MS
        || arrivalUnixMillis < now - MAX_BEHIND_MS) {
      throw new InvalidRequestException("numeric field out of range");
    }
    return new IncomingRequest(
        reference,
        retryFlag > 0,
        classIndex,
        tenantIndex,
        memoryKb,
        (int) callerId,
        rank,
        expectedWorkMillis / 1000,
        idempotencyKey,
        subject,
        SteadyWallClock.toSteadyWallMillis(arrivalUnixMillis),
        parts.length > 4 ? parts[4] : new byte[0]);
  }

  private static Map<String, String> parseFields(String text) throws InvalidRequestException {
    Map<String, String> fields = new HashMap<>();
    for (String field : text.isEmpty() ? new String[0] : text.split(",")) {
      int equals = field.indexOf('=');
      if (equals <= 0
          || fields.put(field.substring(0, equals), field.substring(equals + 1)) != null) {
        throw new InvalidRequestException("field without a value or repeated");
      }
    }
    return fields;
  }
}
