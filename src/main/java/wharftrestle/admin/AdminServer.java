package wharftrestle.admin;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import wharftrestle.admission.Admission;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.ResultMetric;
import wharftrestle.transport.BoundedReader;
import wharftrestle.transport.Connection;
import wharftrestle.transport.Server;
import wharftrestle.transport.Server.MalformedException;
import wharftrestle.version.Version;

/**
 * Serves the admin endpoint: HTTP/1.1, one call per connection. It reports the metrics and state of
 * the daemon and forwards operator commands to it. It does not touch client requests, reads metrics
 * without the lock of the core, and lets no incomplete call delay a complete one.
 */
public final class AdminServer implements Server.Front {

  /** The daemon's state and commands available to the admin endpoint and the SNMP agent. */
  public interface Daemon {
    String name();

    /** The name of the current state of the process. */
    String phase();

    /** The number of the current state, from 1. */
    int phaseNumber();

    /** Returns whether this process accepts clients. */
    boolean ready();

    boolean linked();

    boolean healthy();

    double upSeconds();

    Counters counters();

    /** The metrics of result storage; empty if results are not stored. */
    Map<ResultMetric, Long> results();

    /** The build, settings and format versions of this process. */
    Version version();

    /** The progress of the handover between the processes of this host, and what it waits for. */
    String handover();

    /** The request classes, in the order of the settings. */
    List<Admission.RequestClass> classes();

    /** The rollout status last reported by the supervisor. */
    RolloutStatus fleet();

    void fleet(RolloutStatus status);

    /** Turns lame duck mode on or off; returns false if the daemon is shutting down. */
    boolean lameDuck(boolean on);

    /** Starts a graceful shutdown. */
    void leave();
  }

  /**
   * Time limit for receiving a call: every call, also an incomplete one, is answered within a
   * second.
   */
  private static final int REQUEST_TIMEOUT_MS = 700;

  private static final int MAX_LINE_BYTES = 1024;
  private static final int MAX_HEAD_BYTES = 4096;
  private static final int MAX_BODY_BYTES = 1024;

  /** A response: status code and reason, additional header lines, and the body. */
  private record Response(String status, String headers, String text) {
    static Response ok(String text) {
      return new Response("200 OK", "", text);
    }

    static Response error(String status) {
      return new Response(status, "", status.substring(4).toLowerCase(Locale.ROOT) + "\n");
    }
  }

  /** The method and handler of one path. The handler receives the query string, empty if absent. */
  private record Endpoint(String method, Function<String, Response> handler) {}

  private final Daemon daemon;
  private final Map<String, Endpoint> endpoints;

  public AdminServer(Daemon daemon) {
    this.daemon = daemon;
    endpoints =
        Map.ofEntries(
            endpoint(
                "/_ready",
                "GET",
                query ->
                    daemon.ready()
                        ? Response.ok("yes\n")
                        : new Response(
                            "503 Service Unavailable", "", "no: " + daemon.phase() + "\n")),
            endpoint("/_vars", "GET", query -> Response.ok(daemon.counters().statsdLines())),
            endpoint("/_status", "GET", query -> Response.ok(status())),
            endpoint("/_version", "GET", query -> Response.ok(daemon.version().table())),
            endpoint("/_results", "GET", query -> Response.ok(results())),
            endpoint("/_counters", "GET", query -> Response.ok(daemon.counters().table())),
            endpoint("/_figures", "GET", query -> Response.ok(figures())),
            endpoint("/_fleet", "POST", this::fleet),
            endpoint("/_lameduck/on", "POST", query -> lameDuck(true)),
            endpoint("/_lameduck/off", "POST", query -> lameDuck(false)),
            endpoint(
                "/_drain",
                "POST",
                query -> {
                  daemon.leave();
                  return new Response(
                      "202 Accepted",
                      "",
                      "leaving: what is in hand is answered, then the program ends\n");
                }));
  }

  private static Map.Entry<String, Endpoint> endpoint(
      String path, String method, Function<String, Response> handler) {
    return Map.entry(path, new Endpoint(method, handler));
  }

  @Override
  public void serve(Connection connection) throws IOException {
    connection.readUntil(connection.openedAt() + REQUEST_TIMEOUT_MS * 1_000_000L);
    Response response;
    boolean head = false;
    try {
      InputStream in = connection.in();
      String[] request = BoundedReader.line(in, MAX_LINE_BYTES).split(" ", -1);
      Response rejection = readHeadersAndBody(request, in);
      connection.heard(Connection.Merit.HEARD);
      head = request[0].equals("HEAD");
      response = rejection != null ? rejection : dispatch(head ? "GET" : request[0], request[1]);
    } catch (SocketTimeoutException e) {
      // A client that sends nothing or an incomplete call must not keep the connection open.
      response = Response.error("408 Request Timeout");
    } catch (MalformedException e) {
      response = Response.error("400 Bad Request");
    } catch (EOFException e) {
      return;
    }
    byte[] text = response.text().getBytes(StandardCharsets.UTF_8);
    String header =
        "HTTP/1.1 "
            + response.status()
            + "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "
            + text.length
            + "\r\n"
            + response.headers()
            + "Cache-Control: no-store\r\nConnection: close\r\n\r\n";
    connection.send(BoundedReader.join(BoundedReader.ascii(header), head ? new byte[0] : text));
  }

  /**
   * Reads and discards the headers and the body, which no call here needs: closing with unread
   * bytes would reset the connection before the client reads the response. Returns an error
   * response, or null if the request is valid.
   */
  private static Response readHeadersAndBody(String[] request, InputStream in) throws IOException {
    if (request.length != 3 || !request[1].startsWith("/")) {
      throw new MalformedException("invalid request line");
    }
    if (!request[2].matches("HTTP/1\\.[01]")) {
      return request[2].matches("HTTP/[0-9](\\.[0-9])?")
          ? Response.error("505 HTTP Version Not Supported")
          : Response.error("400 Bad Request");
    }
    int remainingBytes = MAX_HEAD_BYTES;
    long length = 0;
    for (String line = BoundedReader.line(in, MAX_LINE_BYTES);
        !line.isEmpty();
        line = BoundedReader.line(in, MAX_LINE_BYTES)) {
      remainingBytes -= line.length() + 2;
      int colon = line.indexOf(':');
      if (colon < 1) {
        throw new MalformedException("invalid header line");
      }
      if (remainingBytes < 0) {
        return Response.error("431 Request Header Fields Too Large");
      }
      String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
      if (name.equals("transfer-encoding")) {
        return Response.error("411 Length Required");
      }
      if (name.equals("content-length")) {
        length = BoundedReader.number(line.substring(colon + 1).trim(), Long.MAX_VALUE);
      }
    }
    if (length > MAX_BODY_BYTES) {
      return Response.error("413 Content Too Large");
    }
    BoundedReader.exactly(in, (int) length);
    return null;
  }

  private Response dispatch(String method, String target) {
    int query = target.indexOf('?');
    Endpoint endpoint = endpoints.get(query < 0 ? target : target.substring(0, query));
    if (endpoint == null) {
      return Response.error("404 Not Found");
    }
    if (!endpoint.method().equals(method)) {
      return new Response(
          "405 Method Not Allowed",
          "Allow: " + (endpoint.method().equals("GET") ? "GET, HEAD" : "POST") + "\r\n",
          "method not allowed\n");
    }
    return endpoint.handler().apply(query < 0 ? "" : target.substring(query + 1));
  }

  /**
   * Everything that a supervisor polls, in one response: lines of {@code name value}. The name of a
   * request class is the last field of its line.
   */
  private String figures() {
    Counters counters = daemon.counters();
    StringBuilder lines = new StringBuilder();
    lines
        .append("ready ")
        .append(daemon.ready() ? "yes" : "no")
        .append("\nphase ")
        .append(daemon.phase())
        .append("\nhandover ")
        .append(daemon.handover())
        .append("\nbuild ")
        .append(daemon.version().jarDigest())
        .append("\nsettings ")
        .append(daemon.version().settingsDigest())
        .append(
            String.format(
                Locale.ROOT,
                "%nup %.3f%ncalls %d %d%n",
                daemon.upSeconds(),
                counters.get(Counters.Count.DEPENDENCY_CALLS_SUCCEEDED)
                    + counters.get(Counters.Count.DEPENDENCY_CALLS_UNSUCCESSFUL),
                counters.get(Counters.Count.DEPENDENCY_CALLS_UNSUCCESSFUL)));
    List<Admission.RequestClass> classes = daemon.classes();
    for (int i = 0; i < classes.size(); i++) {
      long served = counters.get(i, Counters.Result.SERVED);
      long rejected = counters.get(i, Counters.Result.REJECTED);
      long failed = counters.get(i, Counters.Result.FAILED);
      lines.append(
          String.format(
              Locale.ROOT,
              "class %d %d %d %d %d %s %s %s%n",
              served + rejected + failed,
              served,
              counters.servedAfterObjectiveCount(i),
              rejected,
              failed,
              classes.get(i).weight(),
              classes.get(i).weightAfterObjective(),
              classes.get(i).name()));
    }
    return lines.toString();
  }

  private Response fleet(String query) {
    RolloutStatus status = RolloutStatus.parse(query);
    if (status == null) {
      return new Response("400 Bad Request", "", "expected epoch=N&stage=N&verdict=WORD\n");
    }
    daemon.fleet(status);
    return Response.ok(status.summary() + "\n");
  }

  private Response lameDuck(boolean on) {
    return daemon.lameDuck(on)
        ? Response.ok("lame duck " + (on ? "on" : "off") + "\n")
        : new Response("409 Conflict", "", "the daemon is " + daemon.phase() + "\n");
  }

  /** The metrics of result storage, one per line. */
  private String results() {
    Map<ResultMetric, Long> metrics = daemon.results();
    if (metrics.isEmpty()) {
      return "off\n";
    }
    StringBuilder lines = new StringBuilder();
    metrics.forEach(
        (metric, value) ->
            lines.append(
                String.format(
                    Locale.ROOT,
                    "%-21s %12d  %s%n",
                    metric.publishedName(),
                    value,
                    metric.description())));
    return lines.toString();
  }

  /** Summarizes the state of result storage in one line. */
  private String resultsLine() {
    Map<ResultMetric, Long> metrics = daemon.results();
    if (metrics.isEmpty()) {
      return "off";
    }
    long rejected =
        metrics.entrySet().stream()
            .filter(each -> each.getKey().isRejection())
            .mapToLong(Map.Entry::getValue)
            .sum();
    String state =
        switch (metrics.get(ResultMetric.STATE).intValue()) {
          case 1 -> "not held here";
          case 2 -> "open";
          default -> "THE DISK FAILS";
        };
    return String.format(
        Locale.ROOT,
        "%s, %d kB, sync %.1f ms (99 in 100: %.1f), %d refused, %d unsaved%s",
        state,
        metrics.get(ResultMetric.SIZE_KB),
        metrics.get(ResultMetric.SYNC_P50_US) / 1000.0,
        metrics.get(ResultMetric.SYNC_P99_US) / 1000.0,
        rejected,
        metrics.get(ResultMetric.UNSAVED_RESULTS),
        metrics.get(ResultMetric.DAMAGED) > 0 ? ", FOUND DAMAGED" : "");
  }

  /** Summarizes the idempotency keys and their memory, each with its limit, in one line. */
  private static String keyUsageLine(Counters counters) {
    Counters.KeyUsage usage = counters.keyUsage();
    long rejected = counters.get(Counters.Count.KEY_MEMORY_FULL);
    return String.format(
        Locale.ROOT,
        "%d of %d keys, %d of %d kB%s",
        usage.keys(),
        usage.maxKeys(),
        usage.bytes() >> 10,
        usage.maxBytes() >> 10,
        rejected > 0 ? ", " + rejected + " refused for want of room" : "");
  }

  private String status() {
    Counters counters = daemon.counters();
    return String.format(
        Locale.ROOT,
        "name          %s%nstate         %s%nup            %.0f s%n"
            + "worker pool   %s%nhealth        %s%nin hand       %d requests%nkept          %s%n"
            + "results       %s%nversion       %s%nhand-over     %s%nfleet         %s%n",
        daemon.name(),
        daemon.phase(),
        daemon.upSeconds(),
        daemon.linked() ? "linked" : "not linked",
        daemon.healthy() ? "good" : "bad",
        counters.inFlight(),
        keyUsageLine(counters),
        resultsLine(),
        daemon.version().summaryLine(),
        daemon.handover(),
        daemon.fleet().summary());
  }
}
