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
import java.util.Map;
import wharftrestle.rollout.EpochFence;

/**
 * Calls a keeper. It owns the words on the wire and how long an answer is waited for; a call is
 * made once and never repeated.
 */
final class SupervisorClient {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(900);
  private static final Duration RELEASE_CHECK_TIMEOUT = Duration.ofSeconds(30);

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(REQUEST_TIMEOUT)
          .build();

  /** What a keeper said: the fence's answer, and how its box is. */
  record Answer(EpochFence.Reply reply, String orderResult, JsonNode body) {}

  private JsonNode send(HttpRequest request) throws IOException {
    try {
      HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
      JsonNode read = JSON.readTree(answer.body());
      if (answer.statusCode() != 200) {
        throw new IOException(answer.statusCode() + ": " + read.path("why").asText());
      }
      return read;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("ended while it waited");
    }
  }

  private JsonNode get(String supervisor, String path, Duration timeout) throws IOException {
    return send(
        HttpRequest.newBuilder(URI.create("http://" + supervisor + path)).timeout(timeout).build());
  }

  private Answer post(String supervisor, String path, Map<String, Object> body) throws IOException {
    JsonNode read =
        send(
            HttpRequest.newBuilder(URI.create("http://" + supervisor + path))
                .timeout(REQUEST_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(JSON.writeValueAsString(body)))
                .build());
    try {
      return new Answer(
          new EpochFence.Reply(
              EpochFence.Answer.ofPublishedName(read.path("answer").asText()),
              read.path("stamp").asLong(),
              new EpochFence.Grant(
                  read.path("epoch").asLong(),
                  read.path("driver").asText(),
                  read.path("target").asText(),
                  read.path("orders").asInt())),
          read.path("obeyed").asText(),
          read);
    } catch (IllegalArgumentException e) {
      throw new IOException("no answer of a keeper: " + read);
    }
  }

  Answer claim(String supervisor, long epoch, String controller) throws IOException {
    return post(supervisor, "/claim", Map.of("epoch", epoch, "driver", controller));
  }

  Answer heartbeat(String supervisor, long epoch, String controller, int stage, String verdict)
      throws IOException {
    return post(
        supervisor,
        "/ask",
        Map.of("epoch", epoch, "driver", controller, "stage", stage, "verdict", verdict));
  }

  /**
   * @param back from what was found bad: the keeper goes back to that by no means
   */
  Answer order(
      String supervisor,
      long epoch,
      String controller,
      long leaseToken,
      String release,
      boolean rollback)
      throws IOException {
    return post(
        supervisor,
        "/order",
        Map.of(
            "epoch",
            epoch,
            "driver",
            controller,
            "stamp",
            leaseToken,
            "to",
            release,
            "back",
            rollback));
  }

  /** How the box is, to anybody. */
  JsonNode hostStatus(String supervisor) throws IOException {
    return get(supervisor, "/box", REQUEST_TIMEOUT);
  }

  /** Asks a keeper for another box. */
  JsonNode indirectProbe(String supervisor, String target, String clientAddress)
      throws IOException {
    return get(
        supervisor,
        "/look?keeper=" + target + (clientAddress.isEmpty() ? "" : "&front=" + clientAddress),
        REQUEST_TIMEOUT.multipliedBy(3));
  }

  /** Whether a box can go to a release. */
  JsonNode checkRelease(String supervisor, String name) throws IOException {
    return get(
        supervisor,
        "/release?name=" + URLEncoder.encode(name, StandardCharsets.UTF_8),
        RELEASE_CHECK_TIMEOUT);
  }
}
