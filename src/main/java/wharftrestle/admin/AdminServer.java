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
 * The operators' door: HTTP/1.1, one call a connection. It shows what the daemon counts and passes
 * on what operators ask for. It must never touch a request, wait for the core's lock to show a
 * figure, or let a call that never comes whole hold up one that does.
 */
public final class AdminServer implements Server.Front {

  /** What the operator's tools may see and ask of the daemon. */
  public interface Daemon {
    String name();

    /** The named state of the program. */
    String phase();

    /** Its place among the states, from 1. */
    int phaseNumber();

    /** True while this process takes clients. */
    boolean ready();

    boolean linked();

    boolean healthy();

    double upSeconds();

    Counters counters();

    /** The figures of kept results; empty where none are kept. */
    Map<ResultMetric, Long> results();

    /** What this process is. */
    Version version();

    /**
     * How far the hand-over between the processes of this box is, and why it waits where it does.
     */
    String handover();

    /** The classes of requests, in the order of the settings. */
    List<Admission.RequestClass> classes();

    /** Where a rolling change of the fleet stands, as the keeper said last. */
    RolloutStatus fleet();

    void fleet(RolloutStatus said);

    /** Sends callers away, or takes them again; false where the daemon leaves for good. */
    boolean lameDuck(boolean on);

    /** Gives the notice to leave. */
    void leave();
  }

  /**
   * Milliseconds in which a call is whole: an answer is due within a second, that to half a call
   * too.
   */
  private static final int CALL_MS = 700;

  private static final int LONGEST_LINE = 1024;
  private static final int LONGEST_HEAD = 4096;
  private static final int LONGEST_BODY = 1024;

  /** An answer: the status line's end, further header lines, and the text. */
  private record Answer(String status, String fields, String text) {
    static Answer ok(String text) {
      return new Answer("200 OK", "", text);
    }

    static Answer error(String status) {
      return new Answer(status, "", status.substring(4).toLowerCase(Locale.ROOT) + "\n");
    }
  }

  /**
   * What is done at one path, and by which method; told what stands behind the question mark, empty
   * for nothing.
   */
  private record Call(String method, Function<String, Answer> act) {}

  private final Daemon daemon;
  private final Map<String, Call> calls;

  public AdminServer(Daemon daemon) {
    this.daemon = daemon;
    calls =
        Map.ofEntries(
            call(
                "/_ready",
                "GET",
                query ->
                    daemon.ready()
                        ? Answer.ok("yes\n")
                        : new Answer(
                            "503 Service Unavailable", "", "no: " + daemon.phase() + "\n")),
            call("/_vars", "GET", query -> Answer.ok(daemon.counters().statsdLines())),
            call("/_status", "GET", query -> Answer.ok(status())),
            call("/_version", "GET", query -> Answer.ok(daemon.version().table())),
            call("/_results", "GET", query -> Answer.ok(results())),
            call("/_counters", "GET", query -> Answer.ok(daemon.counters().table())),
            call("/_figures", "GET", query -> Answer.ok(figures())),
            call("/_fleet", "POST", this::fleet),
            call("/_lameduck/on", "POST", query -> lameDuck(true)),
            call("/_lameduck/off", "POST", query -> lameDuck(false)),
            call(
                "/_drain",
                "POST",
                query -> {
                  daemon.leave();
                  return new Answer(
                      "202 Accepted",
                      "",
                      "leaving: what is in hand is answered, then the program ends\n");
                }));
  }

  private static Map.Entry<String, Call> call(
      String path, String method, Function<String, Answer> act) {
    return Map.entry(path, new Call(method, act));
  }

  @Override
  public void serve(Connection connection) throws IOException {
    connection.readUntil(connection.openedAt() + CALL_MS * 1_000_000L);
    Answer answer;
    boolean head = false;
    try {
      InputStream in = connection.in();
      String[] request = BoundedReader.line(in, LONGEST_LINE).split(" ", -1);
      Answer wrong = rest(request, in);
      connection.heard(Connection.Merit.HEARD);
      head = request[0].equals("HEAD");
      answer = wrong != null ? wrong : answer(head ? "GET" : request[0], request[1]);
    } catch (SocketTimeoutException half) {
      // Guards against callers that say nothing, or half a call, and stay.
      answer = Answer.error("408 Request Timeout");
    } catch (MalformedException e) {
      answer = Answer.error("400 Bad Request");
    } catch (EOFException end) {
      return;
    }
    byte[] text = answer.text().getBytes(StandardCharsets.UTF_8);
    String top =
        "HTTP/1.1 "
            + answer.status()
            + "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "
            + text.length
            + "\r\n"
            + answer.fields()
            + "Cache-Control: no-store\r\nConnection: close\r\n\r\n";
    connection.send(BoundedReader.join(BoundedReader.ascii(top), head ? new byte[0] : text));
  }

  /**
   * The head's other lines and the body, which no call here needs; what is wrong with them, or
   * null.
   */
  private static Answer rest(String[] request, InputStream in) throws IOException {
    if (request.length != 3 || !request[1].startsWith("/")) {
      throw new MalformedException("no request line");
    }
    if (!request[2].matches("HTTP/1\\.[01]")) {
      return request[2].matches("HTTP/[0-9](\\.[0-9])?")
          ? Answer.error("505 HTTP Version Not Supported")
          : Answer.error("400 Bad Request");
    }
    int room = LONGEST_HEAD;
    long length = 0;
    for (String line = BoundedReader.line(in, LONGEST_LINE);
        !line.isEmpty();
        line = BoundedReader.line(in, LONGEST_LINE)) {
      room -= line.length() + 2;
      int colon = line.indexOf(':');
      if (colon < 1) {
        throw new MalformedException("no header");
      }
      if (room < 0) {
        return Answer.error("431 Request Header Fields Too Large");
      }
      String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
      if (name.equals("transfer-encoding")) {
        return Answer.error("411 Length Required");
      }
      if (name.equals("content-length")) {
        length = BoundedReader.number(line.substring(colon + 1).trim(), Long.MAX_VALUE);
      }
    }
    if (length > LONGEST_BODY) {
      return Answer.error("413 Content Too Large");
    }
    BoundedReader.exactly(in, (int) length);
    return null;
  }

  private Answer answer(String method, String target) {
    int query = target.indexOf('?');
    Call call = calls.get(query < 0 ? target : target.substring(0, query));
    if (call == null) {
      return Answer.error("404 Not Found");
    }
    if (!call.method().equals(method)) {
      return new Answer(
          "405 Method Not Allowed",
          "Allow: " + (call.method().equals("GET") ? "GET, HEAD" : "POST") + "\r\n",
          "method not allowed\n");
    }
    return call.act().apply(query < 0 ? "" : target.substring(query + 1));
  }

  /**
   * All that a keeper looks at, in one call: a line a part, {@code name value}; a class's name
   * stands last on its line.
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
      long refused = counters.get(i, Counters.Result.REJECTED);
      long failed = counters.get(i, Counters.Result.FAILED);
      lines.append(
          String.format(
              Locale.ROOT,
              "class %d %d %d %d %d %s %s %s%n",
              served + refused + failed,
              served,
              counters.servedAfterObjectiveCount(i),
              refused,
              failed,
              classes.get(i).weight(),
              classes.get(i).weightAfterObjective(),
              classes.get(i).name()));
    }
    return lines.toString();
  }

  private Answer fleet(String query) {
    RolloutStatus said = RolloutStatus.read(query);
    if (said == null) {
      return new Answer("400 Bad Request", "", "expected epoch=N&stage=N&verdict=WORD\n");
    }
    daemon.fleet(said);
    return Answer.ok(said.line() + "\n");
  }

  private Answer lameDuck(boolean on) {
    return daemon.lameDuck(on)
        ? Answer.ok("lame duck " + (on ? "on" : "off") + "\n")
        : new Answer("409 Conflict", "", "the daemon is " + daemon.phase() + "\n");
  }

  /**
   * Guards against a reset that overtakes the answer: what a caller still sends is read before the
   * close.
   */
  private String results() {
    Map<ResultMetric, Long> figures = daemon.results();
    if (figures.isEmpty()) {
      return "off\n";
    }
    StringBuilder lines = new StringBuilder();
    figures.forEach(
        (figure, value) ->
            lines.append(
                String.format(
                    Locale.ROOT,
                    "%-21s %12d  %s%n",
                    figure.publishedName(),
                    value,
                    figure.description())));
    return lines.toString();
  }

  /** One line: what matters most of kept results. */
  private String resultsLine() {
    Map<ResultMetric, Long> f = daemon.results();
    if (f.isEmpty()) {
      return "off";
    }
    long refused =
        f.entrySet().stream()
            .filter(each -> each.getKey().isRejection())
            .mapToLong(Map.Entry::getValue)
            .sum();
    String state =
        switch (f.get(ResultMetric.STATE).intValue()) {
          case 1 -> "not held here";
          case 2 -> "open";
          default -> "THE DISK FAILS";
        };
    return String.format(
        Locale.ROOT,
        "%s, %d kB, sync %.1f ms (99 in 100: %.1f), %d refused, %d unsaved%s",
        state,
        f.get(ResultMetric.SIZE_KB),
        f.get(ResultMetric.SYNC_P50_US) / 1000.0,
        f.get(ResultMetric.SYNC_P99_US) / 1000.0,
        refused,
        f.get(ResultMetric.UNSAVED_RESULTS),
        f.get(ResultMetric.DAMAGED) > 0 ? ", FOUND DAMAGED" : "");
  }

  /** What is known of keys, beside its bound. */
  private static String keptLine(Counters counters) {
    Counters.KeyUsage kept = counters.keyUsage();
    long refused = counters.get(Counters.Count.KEY_MEMORY_FULL);
    return String.format(
        Locale.ROOT,
        "%d of %d keys, %d of %d kB%s",
        kept.keys(),
        kept.maxKeys(),
        kept.bytes() >> 10,
        kept.maxBytes() >> 10,
        refused > 0 ? ", " + refused + " refused for want of room" : "");
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
        keptLine(counters),
        resultsLine(),
        daemon.version().summaryLine(),
        daemon.handover(),
        daemon.fleet().line());
  }
}
