package wharftrestle.handover;

import java.util.List;
import wharftrestle.version.VersionRange;

/**
 * The properties that a process declares to its peer before a handover begins. Immutable; {@link
 * CapabilitiesCodec} reads and writes its text form.
 *
 * @param build operator-facing name of the build
 * @param handoverVersions formats of the handover that it supports
 * @param logVersions formats of the write-ahead log that it reads; it writes the newest
 * @param storageDirectory directory of its stored results; empty if it stores none
 * @param requestClasses in the order of the settings, as keys hold the index of their class
 * @param tenants names, in the order of the settings, as keys hold the index of their tenant
 * @param keyCapacity number of keys that it knows, and that it has memory for
 * @param clockBaseUnixMillis wall time at which its {@link wharftrestle.time.SteadyWallClock}
 *     begins; 0 if not declared, as by earlier builds
 */
public record Capabilities(
    String build,
    VersionRange handoverVersions,
    VersionRange logVersions,
    String storageDirectory,
    List<RequestClass> requestClasses,
    List<String> tenants,
    KeyCapacity keyCapacity,
    long clockBaseUnixMillis) {

  /**
   * One class of requests.
   *
   * @param windowMillis idempotency window; 0 for a class without idempotency keys
   */
  public record RequestClass(String name, boolean isKeyed, long windowMillis) {}

  /**
   * The number of keys, and the size of their results in memory.
   *
   * @param keys known now
   * @param maxKeys that memory has space for
   * @param resultBytes held now
   * @param maxResultBytes that memory has space for
   */
  public record KeyCapacity(long keys, long maxKeys, long resultBytes, long maxResultBytes) {}

  /** Returns a copy with the key capacity and the clock base of a running process. */
  public Capabilities withRuntimeState(KeyCapacity capacity, long clockBase) {
    return new Capabilities(
        build,
        handoverVersions,
        logVersions,
        storageDirectory,
        requestClasses,
        tenants,
        capacity,
        clockBase);
  }

  /** The text that is sent to the peer process. */
  public String encode() {
    return CapabilitiesCodec.encode(this);
  }

  /**
   * Reads the text of a peer process.
   *
   * @throws MalformedCapabilitiesException with a message of one line
   */
  public static Capabilities decode(String text) throws MalformedCapabilitiesException {
    return CapabilitiesCodec.decode(text);
  }

  /** Thrown if the text of a peer process cannot be decoded. */
  public static final class MalformedCapabilitiesException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedCapabilitiesException(String message) {
      super(message);
    }

    MalformedCapabilitiesException(String message, Throwable cause) {
      super(message, cause);
    }
  }
}
