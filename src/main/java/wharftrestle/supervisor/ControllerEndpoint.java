package wharftrestle.supervisor;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.tinylog.Logger;
import wharftrestle.rollout.EpochFence;
import wharftrestle.transport.Address;

/**
 * The HTTP endpoint of a supervisor for rollout controllers, with JSON bodies. {@link EpochFence}
 * decides who may send orders; this class keeps the fence's file and the supervisor's incarnation.
 *
 * <pre>
 * POST /claim    claims an epoch
 * POST /ask      heartbeat of the controller that holds the epoch
 * POST /order    orders this host to run a release
 * GET /box       status of this host, for any caller
 * GET /release   whether this host can change to a release, and back from it
 * GET /look      indirect probe of another host
 * </pre>
 *
 * <p>Requests are served by a small thread pool. None of them waits for the daemon of this host,
 * and a grant is on disk before it is answered.
 */
public final class ControllerEndpoint implements Closeable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_REQUEST_BYTES = 4096;
  private static final int THREADS = 4;
  private static final int PROBE_TIMEOUT_MS = 700;
  private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;
  private static final byte[] HEALTH_CHECK =
      "*2\r\n$6\r\nSTATUS\r\n$1\r\n1\r\n".getBytes(StandardCharsets.US_ASCII);

  private final HttpServer server;
  private final ExecutorService threads =
      Executors.newFixedThreadPool(
          THREADS,
          task -> {
            Thread thread = new Thread(task, "fleet");
            thread.setDaemon(true);
            return thread;
          });
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(PROBE_TIMEOUT_MS))
          .build();
  private final String hostName;
  private final String incarnation = Long.toHexString(new SecureRandom().nextLong());
  private final JsonLineJournal<EpochFence.Grant> journal;
  private final EpochFence fence;
  private final UnaryOperator<String> commandExecutor;
  private final Supplier<Map<String, Object>> hostStatus;
  private final ReleaseDirectory releases;
  private final BiPredicate<String, String> acceptsSettings;
  private final AtomicLong lastLoggedNanos = new AtomicLong(System.nanoTime() - LOG_INTERVAL_NANOS);
  private String sentRolloutStatus = "";

  /**
   * Reads the fence's file and begins to listen.
   *
   * @param commandExecutor executes a command in the supervisor's main thread and returns its
   *     answer
   * @param hostStatus status of the host, as of the supervisor's last poll
   * @param acceptsSettings whether the program of the first release accepts the settings of the
   *     second
   */
  public ControllerEndpoint(
      InetSocketAddress address,
      String hostName,
      Path stateDirectory,
      ReleaseDirectory releases,
      UnaryOperator<String> commandExecutor,
      Supplier<Map<String, Object>> hostStatus,
      BiPredicate<String, String> acceptsSettings)
      throws IOException {
    this.releases = releases;
    this.acceptsSettings = acceptsSettings;
    this.hostName = hostName;
    this.commandExecutor = commandExecutor;
    this.hostStatus = hostStatus;
    journal = new JsonLineJournal<>(stateDirectory.resolve("fence.jsonl"), EpochFence.Grant.class);
    EpochFence.Grant last = journal.last();
    // Lease tokens begin at a random number, so that none of an earlier incarnation is reissued.
    fence =
        new EpochFence(
            last == null ? EpochFence.Grant.NONE : last,
            new SecureRandom().nextLong() >>> 16 << 8,
            this::persist);
    server = HttpServer.create(address, 16);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
    Logger.info("controller endpoint listening host={} address={}", hostName, server.getAddress());
  }

  private boolean persist(EpochFence.Grant grant) {
    try {
      journal.add(grant);
      return true;
    } catch (IOException e) {
      Logger.error(
          "fence file could not be written; request rejected host={} error={}",
          hostName,
          e.getMessage());
      return false;
    }
  }

  private static double now() {
    return System.nanoTime() / 1e9;
  }

  private void handle(HttpExchange exchange) throws IOException {
    int status = 200;
    Map<String, Object> answer;
    try (exchange) {
      try {
        answer = route(exchange);
        status = answer == null ? 404 : 200;
      } catch (JsonProcessingException | IllegalArgumentException malformed) {
        answer = Map.of("why", "not understood: " + malformed.getMessage());
        status = 400;
        logMalformed(exchange, malformed);
      }
      byte[] body = JSON.writeValueAsBytes(answer == null ? Map.of("why", "no such call") : answer);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, body.length);
      exchange.getResponseBody().write(body);
    }
  }

  /** Logs at most one malformed request a second, so that a flood of them doesn't fill the disk. */
  private void logMalformed(HttpExchange exchange, Exception malformed) {
    long now = System.nanoTime();
    long last = lastLoggedNanos.get();
    if (now - last > LOG_INTERVAL_NANOS && lastLoggedNanos.compareAndSet(last, now)) {
      Logger.warn(
          "malformed request host={} peer={} error={}",
          hostName,
          exchange.getRemoteAddress(),
          malformed.getMessage());
    }
  }

  private Map<String, Object> route(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    if (exchange.getRequestMethod().equals("GET")) {
      return switch (path) {
        case "/box" -> publicStatus();
        case "/look" -> probe(exchange.getRequestURI().getQuery());
        case "/release" -> checkRelease(exchange.getRequestURI().getQuery());
        default -> null;
      };
    }
    byte[] body;
    try (InputStream in = exchange.getRequestBody()) {
      body = in.readNBytes(MAX_REQUEST_BYTES + 1);
    }
    if (body.length > MAX_REQUEST_BYTES) {
      throw new IllegalArgumentException("longer than " + MAX_REQUEST_BYTES + " bytes");
    }
    JsonNode request = JSON.readTree(body);
    if (!request.path("epoch").canConvertToLong() || !request.path("driver").isTextual()) {
      throw new IllegalArgumentException("needs epoch and driver");
    }
    long epoch = request.path("epoch").asLong();
    String controller = request.path("driver").asText();
    switch (path) {
      case "/claim" -> {
        return replyFields(underFenceLock(() -> fence.claim(epoch, controller, now())), "");
      }
      case "/ask" -> {
        EpochFence.Reply reply = underFenceLock(() -> fence.heartbeat(epoch, controller, now()));
        if (reply.answer() == EpochFence.Answer.RENEWED) {
          forwardRolloutStatus(
              epoch, request.path("stage").asInt(), request.path("verdict").asText("none"));
        }
        return replyFields(reply, "");
      }
      case "/order" -> {
        String targetRelease = request.path("to").asText();
        if (!targetRelease.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")) {
          throw new IllegalArgumentException("needs the name of a release");
        }
        EpochFence.Reply reply =
            underFenceLock(
                () ->
                    fence.order(
                        epoch, controller, request.path("stamp").asLong(), targetRelease, now()));
        return replyFields(
            reply,
            reply.answer() == EpochFence.Answer.ACCEPTED
                ? commandExecutor.apply(
                    "go "
                        + reply.grant().attempt()
                        + " "
                        + targetRelease
                        + (request.path("back").asBoolean() ? " back" : ""))
                : "");
      }
      default -> {
        return null;
      }
    }
  }

  private EpochFence.Reply underFenceLock(Supplier<EpochFence.Reply> operation) {
    synchronized (fence) {
      return operation.get();
    }
  }

  /**
   * Passes the state of the rollout on to the daemon if it has changed since the last heartbeat.
   */
  @SuppressWarnings("ReturnValueIgnored") // no caller waits for the command's answer
  private void forwardRolloutStatus(long epoch, int stage, String verdict) {
    String query = "epoch=" + epoch + "&stage=" + stage + "&verdict=" + verdict;
    synchronized (this) {
      if (query.equals(sentRolloutStatus)) {
        return;
      }
      sentRolloutStatus = query;
    }
    threads.execute(() -> commandExecutor.apply("stand " + query));
  }

  private Map<String, Object> replyFields(EpochFence.Reply reply, String commandAnswer) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("answer", reply.answer().publishedName());
    fields.put("stamp", reply.leaseToken());
    fields.put("epoch", reply.grant().epoch());
    fields.put("driver", reply.grant().controller());
    fields.put("target", reply.grant().targetRelease());
    fields.put("orders", reply.grant().attempt());
    fields.put("obeyed", commandAnswer);
    return withHostStatus(fields);
  }

  private Map<String, Object> publicStatus() {
    Map<String, Object> fields = new LinkedHashMap<>();
    synchronized (fence) {
      fields.put("epoch", fence.grant().epoch());
      fields.put("driver", fence.grant().controller());
      fields.put("target", fence.grant().targetRelease());
      fields.put("askedAgo", Math.min(1e9, fence.secondsSinceHeartbeat(now())));
    }
    return withHostStatus(fields);
  }

  private Map<String, Object> withHostStatus(Map<String, Object> fields) {
    fields.put("name", hostName);
    fields.put("incarnation", incarnation);
    fields.put("box", hostStatus.get());
    return fields;
  }

  /** Whether this host can change to a release, and back from it. */
  private Map<String, Object> checkRelease(String query) {
    if (query == null || !query.startsWith("name=")) {
      throw new IllegalArgumentException("needs name=RELEASE");
    }
    String release = query.substring(5);
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("against", releases.obstacle(release));
    fields.put("build", releases.programDigest(release));
    fields.put("settings", releases.settingsDigest(release));
    String activeRelease = String.valueOf(hostStatus.get().getOrDefault("release", ""));
    boolean isReversible =
        releases.settingsDigest(release).isEmpty()
            || activeRelease.isEmpty()
            || activeRelease.equals(release)
            || acceptsSettings.test(activeRelease, release);
    fields.put(
        "back", isReversible ? "" : "its settings are none that " + activeRelease + " can read");
    return withHostStatus(fields);
  }

  // ---- Indirect probes ----

  private Map<String, Object> probe(String query) {
    String supervisor = "";
    String front = "";
    for (String part : query == null ? new String[0] : query.split("&")) {
      supervisor = part.startsWith("keeper=") ? part.substring(7) : supervisor;
      front = part.startsWith("front=") ? part.substring(6) : front;
    }
    InetSocketAddress address = Address.of(supervisor);
    if (address == null) {
      throw new IllegalArgumentException("needs keeper=HOST:PORT");
    }
    boolean isReachable;
    try {
      isReachable =
          client
                  .send(
                      HttpRequest.newBuilder(URI.create("http://" + supervisor + "/box"))
                          .timeout(Duration.ofMillis(PROBE_TIMEOUT_MS))
                          .build(),
                      HttpResponse.BodyHandlers.discarding())
                  .statusCode()
              == 200;
    } catch (IOException unreachable) {
      isReachable = false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      isReachable = false;
    }
    InetSocketAddress frontAddress = front.isEmpty() ? null : Address.of(front);
    return Map.of("heard", isReachable, "callers", frontAddress != null && isHealthy(frontAddress));
  }

  /** Whether this address answers the health check of front ends as healthy. */
  private static boolean isHealthy(InetSocketAddress front) {
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              InetAddress.getByAddress(front.getAddress().getAddress()), front.getPort()),
          PROBE_TIMEOUT_MS);
      socket.setSoTimeout(PROBE_TIMEOUT_MS);
      socket.getOutputStream().write(HEALTH_CHECK);
      byte[] response = new byte[64];
      int read = 0;
      while (read < response.length) {
        int count = socket.getInputStream().read(response, read, response.length - read);
        if (count < 0) {
          return false;
        }
        read += count;
        if (new String(response, 0, read, StandardCharsets.US_ASCII).contains("healthy")) {
          return true;
        }
      }
      return false;
    } catch (IOException unreachable) {
      return false;
    }
  }

  @Override
  public void close() throws IOException {
    server.stop(0);
    threads.shutdownNow();
    journal.close();
  }
}
