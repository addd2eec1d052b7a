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
  private static final Duration PATIENCE = Duration.ofMillis(900);
  private static final Duration LONG = Duration.ofSeconds(30);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(PATIENCE).build();

  /** What a keeper said: the fence's answer, and how its box is. */
  record Heard(EpochFence.Said said, String obeyed, JsonNode whole) {}

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

  private JsonNode get(String keeper, String path, Duration patience) throws IOException {
    return send(
        HttpRequest.newBuilder(URI.create("http://" + keeper + path)).timeout(patience).build());
  }

  private Heard post(String keeper, String path, Map<String, Object> body) throws IOException {
    JsonNode read =
        send(
            HttpRequest.newBuilder(URI.create("http://" + keeper + path))
                .timeout(PATIENCE)
                .POST(HttpRequest.BodyPublishers.ofString(JSON.writeValueAsString(body)))
                .build());
    try {
      return new Heard(
          new EpochFence.Said(
              EpochFence.Answer.valueOf(read.path("answer").asText()),
              read.path("stamp").asLong(),
              new EpochFence.Kept(
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

  Heard claim(String keeper, long epoch, String driver) throws IOException {
    return post(keeper, "/claim", Map.of("epoch", epoch, "driver", driver));
  }

  Heard ask(String keeper, long epoch, String driver, int stage, String verdict)
      throws IOException {
    return post(
        keeper,
        "/ask",
        Map.of("epoch", epoch, "driver", driver, "stage", stage, "verdict", verdict));
  }

  /**
   * @param back from what was found bad: the keeper goes back to that by no means
   */
  Heard order(String keeper, long epoch, String driver, long stamp, String to, boolean back)
      throws IOException {
    return post(
        keeper,
        "/order",
        Map.of("epoch", epoch, "driver", driver, "stamp", stamp, "to", to, "back", back));
  }

  /** How the box is, to anybody. */
  JsonNode box(String keeper) throws IOException {
    return get(keeper, "/box", PATIENCE);
  }

  /** Asks a keeper for another box. */
  JsonNode look(String keeper, String other, String front) throws IOException {
    return get(
        keeper,
        "/look?keeper=" + other + (front.isEmpty() ? "" : "&front=" + front),
        PATIENCE.multipliedBy(3));
  }

  /** Whether a box can go to a release. */
  JsonNode release(String keeper, String name) throws IOException {
    return get(keeper, "/release?name=" + URLEncoder.encode(name, StandardCharsets.UTF_8), LONG);
  }
}
