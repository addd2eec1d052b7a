import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A worker pool of one host, as the protocol page describes it: one link at a time, numbered
 * notices that are told again after a bind. A 'spawn' of a request that runs already does nothing;
 * one of a request that is over (answered, taken back, or its run has ended) is 'gone'. A program
 * decides how long each run takes and which calls it makes. Thread-safe.
 */
final class Pool implements Closeable {
  /** How the runs behave. */
  interface Program {
    /** Milliseconds of work of this run. */
    long millis(Requests.Try request);

    /** Number of calls that this run makes, one after the other, before its work. */
    default int calls(Requests.Try request) {
      return 0;
    }
  }

  private enum State {
    BLOCKED,
    WORKING,
    DONE
  }

  private static final class Run {
    final String id; // under which the daemon spawned it
    final Requests.Try request;
    final int number; // of the runs of this request
    State state = State.WORKING;
    long millis; // of work
    int callsLeft;
    long startedNanos = System.nanoTime();
    long blockedNotice;
    final List<String> replies = new ArrayList<>();

    Run(String id, Requests.Try request, int number) {
      this.id = id;
      this.request = request;
      this.number = number;
    }
  }

  private final Log log;
  private final Requests requests;
  private final Program program;
  private final ServerSocket server;
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          2,
          task -> {
            Thread thread = new Thread(task, "pool-timer");
            thread.setDaemon(true);
            return thread;
          });
  private final long startedNanos = System.nanoTime() - 60_000_000_000L;
  private final Map<String, Run> runs = new HashMap<>();
  private final List<byte[]> notices = new ArrayList<>(); // notice N at index N - 1
  private Socket link;
  private volatile boolean namesItsOwn;
  private volatile boolean isFailing;

  Pool(Log log, Requests requests, Program program) throws IOException {
    this.log = log;
    this.requests = requests;
    this.program = program;
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Rig.thread("pool-accept", this::accept);
    timer.scheduleAtFixedRate(this::cutBlocked, 50, 50, TimeUnit.MILLISECONDS);
  }

  /** Ends the runs that wait for a call and whose request is over. */
  private synchronized void cutBlocked() {
    for (Run run : runs.values()) {
      if (run.state == State.BLOCKED && run.request.isOver()) {
        run.state = State.DONE;
        try {
          tell(run.id + " cut 0 0\r\n\r\n");
        } catch (IOException e) {
          log.add("pool: %s", e);
        }
      }
    }
  }

  int port() {
    return server.getLocalPort();
  }

  /** From now on every run fails at its end. */
  void fail() {
    isFailing = true;
  }

  /** From now on the daemon names the requests of gateways itself; they are known by their body. */
  void daemonNamesRequests() {
    namesItsOwn = true;
  }

  private void send(byte[] bytes) throws IOException {
    if (link != null && !link.isClosed()) {
      link.getOutputStream().write(bytes);
    }
  }

  private void accept() {
    try {
      for (; ; ) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        Rig.thread("pool-link", () -> serve(socket));
      }
    } catch (IOException closed) {
      return;
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String[] bind = line(in).split(" ");
      if (!bind[0].equals("bind")) {
        return;
      }
      bind(socket, Integer.parseInt(bind[1]));
      for (; ; ) {
        String[] words = line(in).split(" ");
        byte[] body = null;
        if (words[0].equals("spawn") || words[0].equals("supply")) {
          body = in.readNBytes(Integer.parseInt(words[words.length - 1]));
          in.readNBytes(2);
        }
        command(socket, words, body);
      }
    } catch (IOException ended) {
      log.add("pool: link ended");
    }
  }

  private synchronized void bind(Socket socket, int read) throws IOException {
    if (link != null) {
      link.close();
    }
    link = socket;
    log.add("pool: bind %d", read);
    write("bound old " + (System.nanoTime() - startedNanos) / 1_000_000 + "\r\n");
    for (int i = read; i < notices.size(); i++) {
      send(notices.get(i));
    }
  }

  private synchronized void command(Socket socket, String[] words, byte[] body) throws IOException {
    if (socket != link) {
      return;
    }
    switch (words[0]) {
      case "poll" -> {
        int working = working();
        double busy = Math.min(1, working / (double) Rig.CORES);
        write("polled " + words[1] + " " + busy + " " + working + " 0.2 10\r\n");
      }
      case "spawn" -> spawn(words, body);
      case "supply" -> supply(words[1], body);
      case "pass" -> pass(words[1], Long.parseLong(words[2]));
      case "suspend" -> suspend(words[1]);
      default -> write("unknown " + words[0] + " " + words[1] + "\r\n");
    }
  }

  private int working() {
    return (int) runs.values().stream().filter(run -> run.state == State.WORKING).count();
  }

  private void spawn(String[] words, byte[] body) throws IOException {
    Requests.Try request = requests.find(words[1]);
    String text = new String(body, StandardCharsets.ISO_8859_1);
    if (request == null && namesItsOwn) {
      request = requests.findByBody(text);
      requests.name(words[1], request);
    }
    if (request == null || !request.type.equals(words[2]) || !request.body.equals(text)) {
      log.add("pool: spawn %s %s of no request", words[1], words[2]);
      write("unknown spawn " + words[1] + "\r\n");
      return;
    }
    Run earlier = runs.get(words[1]);
    if (earlier != null && earlier.state != State.DONE) {
      log.add("pool: spawn %s again, it runs already", words[1]);
      return;
    }
    if (earlier != null || request.isOver()) {
      log.add("pool: spawn %s gone", words[1]);
      tell(words[1] + " gone 0 0\r\n\r\n");
      return;
    }
    request.runs.add(System.currentTimeMillis());
    log.add("pool: run %s class=%s key=%s", words[1], request.type, request.key);
    Run run = new Run(words[1], request, request.runs.size());
    run.callsLeft = program.calls(request);
    run.millis = program.millis(request);
    runs.put(words[1], run);
    proceed(run);
  }

  /** Begins the run's next call, or its work. */
  private void proceed(Run run) throws IOException {
    if (run.callsLeft > 0) {
      run.callsLeft--;
      run.state = State.BLOCKED;
      String call = "call " + run.id + " " + run.callsLeft;
      run.blockedNotice = notices.size() + 1;
      tellNumbered(
          "blocked", run.id + " " + call.length() + "\r\n" + call + "\r\n");
      return;
    }
    run.state = State.WORKING;
    timer.schedule(() -> end(run), run.millis, TimeUnit.MILLISECONDS);
  }

  private synchronized void end(Run run) {
    if (run.state != State.WORKING) {
      return;
    }
    run.state = State.DONE;
    long millis = (System.nanoTime() - run.startedNanos) / 1_000_000;
    if (isFailing) {
      log.add("pool: end %s, it failed", run.id);
      try {
        tell(run.id + " bad " + millis + " 0\r\n\r\n");
      } catch (IOException e) {
        log.add("pool: %s", e);
      }
      return;
    }
    String result = "result of " + run.id + " run " + run.number;
    if (!run.replies.isEmpty()) {
      result += " with " + run.replies;
    }
    log.add("pool: end %s", run.id);
    try {
      tellNumbered(
          "finished",
          run.id
              + " good "
              + millis
              + " "
              + result.length()
              + "\r\n"
              + result
              + "\r\n");
    } catch (IOException e) {
      return; // told again after the next bind
    }
  }

  private void supply(String txn, byte[] body) throws IOException {
    Run run = runs.get(txn);
    if (run == null) {
      write("unknown supply " + txn + "\r\n");
    } else if (run.state == State.BLOCKED) {
      run.replies.add(new String(body, StandardCharsets.ISO_8859_1));
      proceed(run);
    }
  }

  private void pass(String txn, long notice) throws IOException {
    Run run = runs.get(txn);
    if (run == null) {
      write("unknown pass " + txn + "\r\n");
    } else if (run.state == State.BLOCKED && run.blockedNotice == notice) {
      proceed(run);
    }
  }

  private void suspend(String txn) throws IOException {
    Run run = runs.get(txn);
    if (run == null) {
      write("unknown suspend " + txn + "\r\n");
    } else if (run.state == State.WORKING) {
      run.state = State.DONE;
      log.add("pool: cut %s", txn);
      tell(txn + " cut 0 0\r\n\r\n");
    }
  }

  private void tell(String text) throws IOException {
    tellNumbered("finished", text);
  }

  private void tellNumbered(String word, String text) throws IOException {
    byte[] notice =
        (word + " " + (notices.size() + 1) + " " + text).getBytes(StandardCharsets.ISO_8859_1);
    notices.add(notice);
    send(notice);
  }

  private void write(String text) throws IOException {
    send(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException();
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public synchronized void close() throws IOException {
    server.close();
    if (link != null) {
      link.close();
    }
    timer.shutdownNow();
  }
}
