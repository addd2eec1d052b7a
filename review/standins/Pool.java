package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker pool as the protocol page has it. A run is a list of pieces of work with a call to the
 * store between each two of them; its result names every reply that it was given. Runs take time but
 * no processor. One lock guards everything.
 */
final class Pool implements AutoCloseable {
  private static final int KEPT_NOTICES = 4000;

  /** What a run does: milliseconds of work; between each two pieces it makes a call. */
  interface Work {
    int[] pieces(Platform.Request request);
  }

  /** The reply that the store gave to a call, or null if it gave none. */
  interface Replies {
    String replyTo(String callBody);
  }

  private static final class Run {
    final Platform.Request request;
    final int[] pieces;
    final long started = System.nanoTime();
    final List<String> replies = new ArrayList<>();
    int piece; // that is under way, or that follows the call it waits for
    String waitsFor; // the body of the call that it waits for
    long callNotice;
    boolean ended;
    boolean paused;
    ScheduledFuture<?> timer;

    Run(Platform.Request request, int[] pieces) {
      this.request = request;
      this.pieces = pieces;
    }
  }

  private record Notice(long number, byte[] bytes) {}

  private final Platform platform;
  private final Record record;
  private final Work work;
  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, daemonThreads());
  private final Map<String, Run> runs = new HashMap<>();
  private final Set<Run> waiting = new HashSet<>(); // at a call
  private final ArrayDeque<Notice> notices = new ArrayDeque<>();
  private final long started = System.nanoTime();
  private long lastNotice;
  private Socket link;
  private int running;
  private long pieceMillis; // pause within an answer to a poll, which is sent in pieces; 0 for whole
  private ByteArrayOutputStream held; // what waits behind a message that is under way in pieces
  private Replies store = call -> null;

  final AtomicInteger runCount = new AtomicInteger();
  final AtomicInteger supplies = new AtomicInteger();
  final AtomicInteger wrongSupplies = new AtomicInteger();
  final AtomicInteger spawnsAgain = new AtomicInteger();
  final AtomicInteger breaks = new AtomicInteger();
  final AtomicInteger binds = new AtomicInteger();

  Pool(Platform platform, Record record, Work work) throws IOException {
    this.platform = platform;
    this.record = record;
    this.work = work;
    Thread accepting = new Thread(this::accept, "pool");
    accepting.setDaemon(true);
    accepting.start();
    timers.scheduleWithFixedDelay(this::endRunsAtCalls, 5, 5, TimeUnit.MILLISECONDS);
  }

  /** A run that stands at a call ends there once its request is over. */
  private synchronized void endRunsAtCalls() {
    for (Run run : List.copyOf(waiting)) {
      if (run.request.isOver()) {
        end(run, "cut", "");
      }
    }
  }

  static java.util.concurrent.ThreadFactory daemonThreads() {
    return task -> {
      Thread thread = new Thread(task);
      thread.setDaemon(true);
      return thread;
    };
  }

  void useStore(Replies replies) {
    store = replies;
  }

  /** Sends answers to polls in two pieces, so many milliseconds apart. */
  synchronized void sendPiecewise(long millis) {
    pieceMillis = millis;
  }

  String address() {
    InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
    return "127.0.0.1:" + address.getPort();
  }

  private void accept() {
    try {
      for (; ; ) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        Thread reading = new Thread(() -> serve(socket), "pool-link");
        reading.setDaemon(true);
        reading.start();
      }
    } catch (IOException closed) {
      return;
    }
  }

  /** Breaks the link, as the bad peers of the pages do now and then. */
  synchronized void breakLink() {
    if (link != null) {
      breaks.incrementAndGet();
      record.line("pool breaks the link");
      closeLink();
    }
  }

  private void closeLink() {
    try {
      link.close();
    } catch (IOException e) {
      record.line("pool: close failed: %s", e);
    }
    link = null;
    held = null;
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (String line = Bytes.line(in); line != null; line = Bytes.line(in)) {
        String[] words = line.split(" ");
        String body = "";
        if (words[0].equals("spawn") || words[0].equals("supply")) {
          body = Bytes.exactly(in, Integer.parseInt(words[words.length - 1]));
          Bytes.crlf(in);
        }
        if (!handle(socket, words, body)) {
          return;
        }
      }
    } catch (IOException | RuntimeException e) {
      record.line("pool link ended: %s", e);
    } finally {
      synchronized (this) {
        if (link == socket) {
          link = null;
          held = null;
        }
      }
    }
  }

  private synchronized boolean handle(Socket socket, String[] words, String body) {
    if (words[0].equals("bind")) {
      if (link != null) {
        closeLink(); // a new link replaces the one before it
      }
      link = socket;
      binds.incrementAndGet();
      long read = Long.parseLong(words[1]);
      record.line("pool bind %d", read);
      write(Bytes.of("bound old " + (System.nanoTime() - started) / 1_000_000 + "\r\n"));
      for (Notice notice : notices) {
        if (notice.number() > read) {
          write(notice.bytes());
        }
      }
      return true;
    }
    if (link != socket) {
      return false;
    }
    switch (words[0]) {
      case "spawn" -> spawn(words[1], words[2], body);
      case "supply" -> supply(words[1], body);
      case "pass" -> pass(words[1], Long.parseLong(words[2]));
      case "suspend" -> suspend(words[1]);
      case "proceed" -> proceed(words[1]);
      case "poll" -> polled(words[1]);
      default -> {
        return false; // no command: the link is closed
      }
    }
    return true;
  }

  private void polled(String tag) {
    String busy = String.format(java.util.Locale.ROOT, "%.2f", Math.min(1, running / 6.0));
    String answer = "polled " + tag + " " + busy + " " + running + " 0.2 10\r\n";
    if (pieceMillis == 0 || held != null) {
      write(Bytes.of(answer));
      return;
    }
    int half = answer.length() / 2;
    write(Bytes.of(answer.substring(0, half)));
    held = new ByteArrayOutputStream();
    held.writeBytes(Bytes.of(answer.substring(half)));
    Socket onto = link;
    timers.schedule(() -> finishPiece(onto), pieceMillis, TimeUnit.MILLISECONDS);
  }

  private synchronized void finishPiece(Socket onto) {
    if (link == onto && held != null) {
      byte[] rest = held.toByteArray();
      held = null;
      write(rest);
    }
  }

  private void write(byte[] bytes) {
    if (link == null) {
      return;
    }
    if (held != null) {
      held.writeBytes(bytes); // behind the message that is under way
      return;
    }
    try {
      link.getOutputStream().write(bytes);
    } catch (IOException e) {
      record.line("pool link lost: %s", e);
      link = null;
    }
  }

  private long notice(String kind, String rest, String body) {
    long number = ++lastNotice;
    byte[] bytes = Bytes.of(kind + " " + number + " " + rest + " " + body.length() + "\r\n" + body + "\r\n");
    notices.add(new Notice(number, bytes));
    if (notices.size() > KEPT_NOTICES) {
      notices.poll();
    }
    write(bytes);
    return number;
  }

  private void spawn(String id, String className, String body) {
    Platform.Request request = platform.find(id);
    if (request == null || !request.className.equals(className) || !request.body.equals(body)) {
      record.line("pool unknown spawn %s", id);
      write(Bytes.of("unknown spawn " + id + "\r\n"));
      return;
    }
    Run earlier = runs.get(id);
    if (earlier != null && !earlier.ended) {
      record.line("spawn again %s (runs already)", id);
      spawnsAgain.incrementAndGet();
      return;
    }
    if (earlier != null || request.isOver()) {
      notice("finished", id + " gone 0", "");
      return;
    }
    Run run = new Run(request, work.pieces(request));
    runs.put(id, run);
    running++;
    request.runs++;
    runCount.incrementAndGet();
    record.line("run %s %s key=%s", id, className, request.key);
    startPiece(run);
  }

  private void startPiece(Run run) {
    run.timer = timers.schedule(() -> pieceDone(run), run.pieces[run.piece], TimeUnit.MILLISECONDS);
  }

  private synchronized void pieceDone(Run run) {
    if (run.ended || run.paused) {
      return;
    }
    if (run.piece == run.pieces.length - 1) {
      run.request.produced = "result of " + run.request.id + ":" + String.join("", run.replies);
      end(run, "good", run.request.produced);
      return;
    }
    run.piece++;
    if (run.request.isOver()) {
      end(run, "cut", "");
      return;
    }
    running--;
    run.waitsFor = callBody(run.request.id, run.piece);
    waiting.add(run);
    run.callNotice = notice("blocked", run.request.id, run.waitsFor);
    record.line("blocked %s call %d", run.request.id, run.piece);
  }

  static String callBody(String id, int call) {
    return "call " + call + " of " + id;
  }

  private void end(Run run, String end, String result) {
    run.ended = true;
    waiting.remove(run);
    if (run.waitsFor == null) {
      running--;
    }
    if (run.timer != null) {
      run.timer.cancel(false);
    }
    record.line("ended %s %s", run.request.id, end);
    notice("finished", run.request.id + " " + end + " " + (System.nanoTime() - run.started) / 1_000_000, result);
  }

  /** True if a run waits for this call. */
  synchronized boolean waitsFor(String id, String callBody) {
    Run run = runs.get(id);
    return run != null && !run.ended && callBody.equals(run.waitsFor);
  }

  private void supply(String id, String reply) {
    Run run = runs.get(id);
    if (run == null || run.ended || run.waitsFor == null) {
      record.line("supply %s ignored: no call is waited for", id);
      return;
    }
    supplies.incrementAndGet();
    String expected = store.replyTo(run.waitsFor);
    if (!reply.equals(expected)) {
      wrongSupplies.incrementAndGet();
      record.line("WRONG supply for [%s]: got [%s], the reply of the store is [%s]", run.waitsFor, head(reply), head(expected));
    } else {
      record.line("supply %s call %d", id, run.piece);
    }
    run.replies.add("[" + run.waitsFor + " -> " + reply + "]");
    goOn(run);
  }

  private void pass(String id, long notice) {
    Run run = runs.get(id);
    if (run != null && !run.ended && run.waitsFor != null && run.callNotice == notice) {
      record.line("pass %s call %d", id, run.piece);
      goOn(run);
    }
  }

  private void goOn(Run run) {
    waiting.remove(run);
    run.waitsFor = null;
    running++;
    startPiece(run);
  }

  private void suspend(String id) {
    Run run = runs.get(id);
    if (run == null) {
      write(Bytes.of("unknown suspend " + id + "\r\n"));
    } else if (!run.ended && run.waitsFor == null && !run.paused) {
      if (run.request.isOver()) {
        end(run, "cut", "");
      } else {
        run.paused = true;
        run.timer.cancel(false);
        notice("finished", id + " cut 0", "");
      }
    }
  }

  private void proceed(String id) {
    Run run = runs.get(id);
    if (run != null && run.paused) {
      run.paused = false;
      startPiece(run);
    }
  }

  static String head(String text) {
    return text == null ? "not sent yet" : text.length() <= 60 ? text : text.substring(0, 60) + "...";
  }

  @Override
  public synchronized void close() throws IOException {
    server.close();
    if (link != null) {
      closeLink();
    }
    timers.shutdownNow();
  }
}
