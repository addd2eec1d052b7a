package wharftrestle.rollout.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import wharftrestle.rollout.EpochFence;

/**
 * Calls supervisors over HTTP and maps their messages to and from the published names. Calls are
 * not retried. Every call throws an {@link IOException} if the supervisor does not answer in time
 * or answers with an error. Thread-safe.
 */
final class SupervisorClient {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(900);

  /** Longer than {@link #REQUEST_TIMEOUT}, because a probe waits for the probed supervisor. */
  private static final Duration PROBE_TIMEOUT = REQUEST_TIMEOUT.multipliedBy(3);

  /** Long enough for a supervisor to read both releases from disk. */
  private static final Duration RELEASE_CHECK_TIMEOUT = Duration.ofSeconds(30);

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(REQUEST_TIMEOUT)
          .build();

  /**
   * A supervisor's answer to a claim, a heartbeat or an order.
   *
   * @param reply of the supervisor's fence
   * @param orderResult "ok ..." or "no ..."; empty unless the request was an order
   * @param body the whole answer, with the state of the host
   */
  record Answer(EpochFence.Reply reply, String orderResult, JsonNode body) {
    /** The name of the host that answered. */
    String host() {
      return body.path("name").asText();
    }

    /** The incarnation of the supervisor that answered. */
    String incarnation() {
      return body.path("incarnation").asText();
    }
  }

  /** Claims an epoch. */
  Answer claim(String supervisor, long epoch, String controller) throws IOException {
    return post(supervisor, "/claim", Map.of("epoch", epoch, "driver", controller));
  }

  /**
   * Sends a heartbeat, which requests the state of a host and a new lease token.
   *
   * @param stage from 1
   * @param verdict published name of the verdict's outcome, for the daemon's metrics
   */
  Answer heartbeat(String supervisor, long epoch, String controller, int stage, String verdict)
      throws IOException {
    return post(
        supervisor,
        "/ask",
        Map.of("epoch", epoch, "driver", controller, "stage", stage, "verdict", verdict));
  }

  /**
   * Orders a host to run a release.
   *
   * @param leaseToken from the supervisor's last answer
   * @param rollback true if the host must never return to the release that it runs now
   */
  Answer order(
      String supervisor,
      long epoch,
      String controller,
      long leaseToken,
      String release,
      boolean rollback)
      throws IOException {
    Map<String, Object> order = new LinkedHashMap<>();
    order.put("epoch", epoch);
    order.put("driver", controller);
    order.put("stamp", leaseToken);
    order.put("to", release);
    order.put("back", rollback);
    return post(supervisor, "/order", order);
  }

  /** Requests the state of a host; the caller need not hold the lease. */
  JsonNode hostStatus(String supervisor) throws IOException {
    return get(supervisor, "/box", REQUEST_TIMEOUT);
  }

  /**
   * Asks a supervisor whether it reaches another one, and whether the host at the client address
   * serves clients.
   *
   * @param target address of the other supervisor
   * @param clientAddress empty for none
   */
  JsonNode indirectProbe(String supervisor, String target, String clientAddress)
      throws IOException {
    String front = clientAddress.isEmpty() ? "" : "&front=" + clientAddress;
    return get(supervisor, "/look?keeper=" + target + front, PROBE_TIMEOUT);
  }

  /** Asks a supervisor whether its host can change to a release and be rolled back. */
  JsonNode checkRelease(String supervisor, String release) throws IOException {
    String name = URLEncoder.encode(release, StandardCharsets.UTF_8);
    return get(supervisor, "/release?name=" + name, RELEASE_CHECK_TIMEOUT);
  }

  private JsonNode get(String supervisor, String path, Duration timeout) throws IOException {
    return send(request(supervisor, path, timeout).build());
  }

  private Answer post(String supervisor, String path, Map<String, Object> body) throws IOException {
    return answer(
        send(
            request(supervisor, path, REQUEST_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(JSON.writeValueAsString(body)))
                .build()));
  }

  private static HttpRequest.Builder request(String supervisor, String path, Duration timeout) {
    return HttpRequest.newBuilder(URI.create("http://" + supervisor + path)).timeout(timeout);
  }

  private JsonNode send(HttpRequest request) throws IOException {
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      JsonNode body = JSON.readTree(response.body());
      if (response.statusCode() != 200) {
        throw new IOException(response.statusCode() + ": " + body.path("why").asText());
      }
      return body;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while waiting for " + request.uri(), e);
    }
  }

  private static Answer answer(JsonNode body) throws IOException {
    try {
      EpochFence.Grant grant =
          new EpochFence.Grant(
              body.path("epoch").asLong(),
              body.path("driver").asText(),
              body.path("target").asText(),
              body.path("orders").asInt());
      EpochFence.Reply reply =
          new EpochFence.Reply(
              EpochFence.Answer.ofPublishedName(body.path("answer").asText()),
              body.path("stamp").asLong(),
              grant);
      return new Answer(reply, body.path("obeyed").asText(), body);
    } catch (IllegalArgumentException e) {
      throw new IOException("expected the answer of a supervisor, got " + body, e);
    }
  }
}
