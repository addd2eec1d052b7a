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
 * Where drivers of the fleet call a keeper: JSON over HTTP, {@code POST /claim}, {@code /ask} and
 * {@code /order}, {@code GET /box} for anybody, {@code GET /look} to ask this keeper for another.
 * It owns the fence's file and the keeper's incarnation. It decides nothing: {@link EpochFence}
 * does. It must never wait for a daemon, or answer before what it grants is on disk.
 */
public final class ControllerEndpoint implements Closeable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int LONGEST = 4096;
  private static final int THREADS = 4;
  private static final int LOOK_MS = 700;
  private static final long RARELY = 1_000_000_000L;
  private static final byte[] STATUS =
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
          .connectTimeout(Duration.ofMillis(LOOK_MS))
          .build();
  private final String name;
  private final String incarnation = Long.toHexString(new SecureRandom().nextLong());
  private final JsonLineJournal<EpochFence.Grant> file;
  private final EpochFence fence;
  private final UnaryOperator<String> orders;
  private final Supplier<Map<String, Object>> shown;
  private final ReleaseDirectory releases;
  private final BiPredicate<String, String> reads;
  private final AtomicLong toldAt = new AtomicLong(System.nanoTime() - RARELY);
  private String stand = "";

  /**
   * @param orders obeys an order in the keeper's own thread, and gives its answer
   * @param shown how the box is, as of the keeper's last look
   * @param reads true where the program of one release can read the settings of another
   */
  public ControllerEndpoint(
      InetSocketAddress at,
      String name,
      Path state,
      ReleaseDirectory releases,
      UnaryOperator<String> orders,
      Supplier<Map<String, Object>> shown,
      BiPredicate<String, String> reads)
      throws IOException {
    this.releases = releases;
    this.reads = reads;
    this.name = name;
    this.orders = orders;
    this.shown = shown;
    file = new JsonLineJournal<>(state.resolve("fence.jsonl"), EpochFence.Grant.class);
    EpochFence.Grant last = file.last();
    // Stamps of an earlier start are never given again: they begin at a place drawn anew.
    fence =
        new EpochFence(
            last == null ? EpochFence.Grant.NONE : last,
            new SecureRandom().nextLong() >>> 16 << 8,
            this::write);
    server = HttpServer.create(at, 16);
    server.setExecutor(threads);
    server.createContext("/", this::serve);
    server.start();
    Logger.info("{}: drivers of the fleet may call at {}", name, server.getAddress());
  }

  private boolean write(EpochFence.Grant kept) {
    try {
      file.add(kept);
      return true;
    } catch (IOException full) {
      Logger.error(
          "{}: nothing is granted or obeyed, as it cannot be written down: {}",
          name,
          full.getMessage());
      return false;
    }
  }

  private static double now() {
    return System.nanoTime() / 1e9;
  }

  private void serve(HttpExchange call) throws IOException {
    int status = 200;
    Map<String, Object> answer;
    try (call) {
      try {
        answer = answer(call);
        status = answer == null ? 404 : 200;
      } catch (JsonProcessingException | IllegalArgumentException malformed) {
        answer = Map.of("why", "not understood: " + malformed.getMessage());
        status = 400;
        tell(call, malformed);
      }
      byte[] body = JSON.writeValueAsBytes(answer == null ? Map.of("why", "no such call") : answer);
      call.getResponseHeaders().set("Content-Type", "application/json");
      call.sendResponseHeaders(status, body.length);
      call.getResponseBody().write(body);
    }
  }

  /** Guards against a log that grows as fast as nonsense comes in: one line a second. */
  private void tell(HttpExchange call, Exception malformed) {
    long now = System.nanoTime();
    long last = toldAt.get();
    if (now - last > RARELY && toldAt.compareAndSet(last, now)) {
      Logger.warn(
          "{}: a call of {} is not understood: {}",
          name,
          call.getRemoteAddress(),
          malformed.getMessage());
    }
  }

  private Map<String, Object> answer(HttpExchange call) throws IOException {
    String path = call.getRequestURI().getPath();
    if (call.getRequestMethod().equals("GET")) {
      return switch (path) {
        case "/box" -> anybody();
        case "/look" -> look(call.getRequestURI().getQuery());
        case "/release" -> release(call.getRequestURI().getQuery());
        default -> null;
      };
    }
    byte[] body;
    try (InputStream in = call.getRequestBody()) {
      body = in.readNBytes(LONGEST + 1);
    }
    if (body.length > LONGEST) {
      throw new IllegalArgumentException("longer than " + LONGEST + " bytes");
    }
    JsonNode asked = JSON.readTree(body);
    if (!asked.path("epoch").canConvertToLong() || !asked.path("driver").isTextual()) {
      throw new IllegalArgumentException("needs epoch and driver");
    }
    long epoch = asked.path("epoch").asLong();
    String driver = asked.path("driver").asText();
    switch (path) {
      case "/claim" -> {
        return said(fenced(() -> fence.claim(epoch, driver, now())), "");
      }
      case "/ask" -> {
        EpochFence.Reply said = fenced(() -> fence.heartbeat(epoch, driver, now()));
        if (said.answer() == EpochFence.Answer.RENEWED) {
          stand(epoch, asked.path("stage").asInt(), asked.path("verdict").asText("none"));
        }
        return said(said, "");
      }
      case "/order" -> {
        String to = asked.path("to").asText();
        if (!to.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")) {
          throw new IllegalArgumentException("needs the name of a release");
        }
        EpochFence.Reply said =
            fenced(() -> fence.order(epoch, driver, asked.path("stamp").asLong(), to, now()));
        return said(
            said,
            said.answer() == EpochFence.Answer.ACCEPTED
                ? orders.apply(
                    "go "
                        + said.grant().attempt()
                        + " "
                        + to
                        + (asked.path("back").asBoolean() ? " back" : ""))
                : "");
      }
      default -> {
        return null;
      }
    }
  }

  private EpochFence.Reply fenced(Supplier<EpochFence.Reply> asked) {
    synchronized (fence) {
      return asked.get();
    }
  }

  /** The box's daemon hears where the change stands, when that is another place than before. */
  @SuppressWarnings("ReturnValueIgnored") // the order is obeyed; nobody asked for its answer
  private void stand(long epoch, int stage, String verdict) {
    String query = "epoch=" + epoch + "&stage=" + stage + "&verdict=" + verdict;
    synchronized (this) {
      if (query.equals(stand)) {
        return;
      }
      stand = query;
    }
    threads.execute(() -> orders.apply("stand " + query));
  }

  private Map<String, Object> said(EpochFence.Reply said, String obeyed) {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("answer", said.answer().publishedName());
    all.put("stamp", said.leaseToken());
    all.put("epoch", said.grant().epoch());
    all.put("driver", said.grant().controller());
    all.put("target", said.grant().targetRelease());
    all.put("orders", said.grant().attempt());
    all.put("obeyed", obeyed);
    return box(all);
  }

  private Map<String, Object> anybody() {
    Map<String, Object> all = new LinkedHashMap<>();
    synchronized (fence) {
      all.put("epoch", fence.grant().epoch());
      all.put("driver", fence.grant().controller());
      all.put("target", fence.grant().targetRelease());
      all.put("askedAgo", Math.min(1e9, fence.secondsSinceHeartbeat(now())));
    }
    return box(all);
  }

  private Map<String, Object> box(Map<String, Object> all) {
    all.put("name", name);
    all.put("incarnation", incarnation);
    all.put("box", shown.get());
    return all;
  }

  /** Whether this box could go to a release, and back from it. */
  private Map<String, Object> release(String query) {
    if (query == null || !query.startsWith("name=")) {
      throw new IllegalArgumentException("needs name=RELEASE");
    }
    String wanted = query.substring(5);
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("against", releases.against(wanted));
    all.put("build", releases.build(wanted));
    all.put("settings", releases.settings(wanted));
    String now = String.valueOf(shown.get().getOrDefault("release", ""));
    boolean knows =
        releases.settings(wanted).isEmpty()
            || now.isEmpty()
            || now.equals(wanted)
            || reads.test(now, wanted);
    all.put("back", knows ? "" : "its settings are none that " + now + " can read");
    return box(all);
  }

  // ---- Another box, as it is from here ----

  private Map<String, Object> look(String query) {
    String keeper = "";
    String front = "";
    for (String part : query == null ? new String[0] : query.split("&")) {
      keeper = part.startsWith("keeper=") ? part.substring(7) : keeper;
      front = part.startsWith("front=") ? part.substring(6) : front;
    }
    InetSocketAddress at = Address.of(keeper);
    if (at == null) {
      throw new IllegalArgumentException("needs keeper=HOST:PORT");
    }
    boolean heard;
    try {
      heard =
          client
                  .send(
                      HttpRequest.newBuilder(URI.create("http://" + keeper + "/box"))
                          .timeout(Duration.ofMillis(LOOK_MS))
                          .build(),
                      HttpResponse.BodyHandlers.discarding())
                  .statusCode()
              == 200;
    } catch (IOException silent) {
      heard = false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      heard = false;
    }
    InetSocketAddress callers = front.isEmpty() ? null : Address.of(front);
    return Map.of("heard", heard, "callers", callers != null && serves(callers));
  }

  /** A health check as any front end makes it. */
  private static boolean serves(InetSocketAddress front) {
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              InetAddress.getByAddress(front.getAddress().getAddress()), front.getPort()),
          LOOK_MS);
      socket.setSoTimeout(LOOK_MS);
      socket.getOutputStream().write(STATUS);
      byte[] said = new byte[64];
      int read = 0;
      while (read < said.length) {
        int more = socket.getInputStream().read(said, read, said.length - read);
        if (more < 0) {
          return false;
        }
        read += more;
        if (new String(said, 0, read, StandardCharsets.US_ASCII).contains("healthy")) {
          return true;
        }
      }
      return false;
    } catch (IOException silent) {
      return false;
    }
  }

  @Override
  public void close() throws IOException {
    server.stop(0);
    threads.shutdownNow();
    file.close();
  }
}
