package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import wharftrestle.config.DaemonConfig;
import wharftrestle.daemon.Lifecycle;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.testbed.RespPeer;
import wharftrestle.testbed.WorkerPoolPeer;
import wharftrestle.transport.BoundedReader;

/**
 * The one helper of the daemon's stories: a daemon on loopback with scripted peers all round it.
 */
final class Loopback implements Closeable {
  static final long WAIT_S = 10;
  private static final double KB = 24.5;
  private static final InetAddress HOST = InetAddress.getLoopbackAddress();

  /** A command that the worker pool read, with its body. */
  record Command(String verb, String ref, String rest, String body) {}

  ServerSocket store = new ServerSocket(0, 50, HOST);
  DatagramSocket naming = new DatagramSocket(0, HOST);
  final BlockingQueue<Command> commands = new LinkedBlockingQueue<>();
  final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
  final BlockingQueue<String> storeReplies = new LinkedBlockingQueue<>();
  final List<String> notices = new ArrayList<>();
  final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  final ScheduledExecutorService cores = Executors.newScheduledThreadPool(2);
  final AtomicInteger running = new AtomicInteger();
  final Lifecycle life;

  /**
   * Where set, each spawn takes a core for this many ms, when one is free, and ends well with its
   * body.
   */
  volatile double autoMs = -1;

  /** Where set, the share of busy cores that the gauges say, whatever is executing. */
  volatile double reportedCpuBusy = -1;

  private final long[] coreFree = {System.nanoTime(), System.nanoTime()};
  private final List<long[]> work = new ArrayList<>();
  WorkerPoolPeer pool = new WorkerPoolPeer(new Workers()).start();

  /** Where set, what the worker pool and the store say comes a byte at a time. */
  volatile boolean drips;

  /**
   * Where set, the worker pool reads the present link and says nothing on it; a new one is served.
   */
  volatile boolean mute;

  /** Worker pools of stories that are over, with their ports, so that these are nobody else's. */
  private static final List<WorkerPoolPeer> KEPT = new CopyOnWriteArrayList<>();

  private volatile WorkerPoolPeer.Link link;
  private volatile long poolUpAt = System.nanoTime();
  private volatile boolean anew;

  /** Descriptors that the daemon is told it may have. */
  private final int sockets;

  /** Where the processes of an upgrade meet, and the one to take over from; null for none. */
  private final Path meeting;

  private final Loopback elder;

  Loopback(Sites.Builder site) throws Exception {
    this(site, 1024);
  }

  Loopback(Sites.Builder site, int sockets) throws Exception {
    this(site, new DaemonConfig.Appliance(null, null, null, "public", 24), sockets);
  }

  Loopback(Sites.Builder site, DaemonConfig.Appliance appliance) throws Exception {
    this(site, appliance, 1024);
  }

  private Loopback(Sites.Builder site, DaemonConfig.Appliance appliance, int sockets)
      throws Exception {
    this(site, appliance, sockets, null, null);
  }

  /**
   * A daemon that meets others at this file; with an elder, one at the same addresses that takes
   * over from it.
   */
  Loopback(
      Sites.Builder site,
      DaemonConfig.Appliance appliance,
      int sockets,
      Path meeting,
      Loopback elder)
      throws Exception {
    this(site, appliance, sockets, meeting, elder, KeyMemoryBudget.of(64 << 20));
  }

  /** A daemon with so much room for what it knows of keys. */
  Loopback(
      Sites.Builder site,
      DaemonConfig.Appliance appliance,
      int sockets,
      Path meeting,
      Loopback elder,
      KeyMemoryBudget room)
      throws Exception {
    this.sockets = sockets;
    this.meeting = meeting;
    this.elder = elder;
    life = new Lifecycle(config(site), appliance, room);
    servePeers();
    life.start();
    awaitBound();
  }

  private DaemonConfig config(Sites.Builder site) {
    return new DaemonConfig(
        "n1",
        elder == null ? any() : elder.life.respAddress(),
        pool.address(),
        site.calls ? at(store) : null,
        new InetSocketAddress(HOST, naming.getLocalPort()),
        any(),
        7,
        3.2,
        site.share,
        sockets,
        192,
        meeting,
        site.build());
  }

  /** The same addresses with another meeting place. */
  DaemonConfig stranger(Path elsewhere) {
    return new DaemonConfig(
        "n1",
        life.respAddress(),
        pool.address(),
        at(store),
        any(),
        any(),
        7,
        3.2,
        1,
        sockets,
        192,
        elsewhere,
        life.requestCoordinator().settings());
  }

  private void servePeers() {
    ServerSocket rows = store;
    thread(() -> serveStore(rows));
  }

  /** Moves all parties but the callers to new addresses, which the daemon finds by a reload. */
  DaemonConfig move(Sites.Builder site) throws IOException {
    pool.close();
    store.close();
    naming.close();
    pool = new WorkerPoolPeer(new Workers()).start();
    store = new ServerSocket(0, 50, HOST);
    naming = new DatagramSocket(0, HOST);
    servePeers();
    return config(site);
  }

  static InetSocketAddress any() {
    return new InetSocketAddress(HOST, 0);
  }

  private static InetSocketAddress at(ServerSocket socket) {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  private interface Body {
    void run() throws Exception;
  }

  private static void thread(Body body) {
    Thread thread =
        new Thread(
            () -> {
              try {
                body.run();
              } catch (Exception e) {
                return; // its socket was closed: the story is over
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Waits for the notice on a thread that ends when the process may. */
  Thread stopping() {
    Thread stopping =
        new Thread(
            () -> {
              try {
                life.serveUntilStopped();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    stopping.start();
    return stopping;
  }

  /** A peer that says this is ended in order: nothing comes but an end, and no reset. */
  void endsWhoSays(String nonsense) throws IOException {
    try (Caller peer = new Caller()) {
      peer.write(nonsense);
      assertEquals(-1, peer.socket.getInputStream().read(), nonsense);
    }
  }

  // ---- Worker pool ----

  /**
   * What the worker pool does: it takes a core for a while, or the story says what comes of each
   * command.
   */
  private final class Workers implements WorkerPoolPeer.Script {
    @Override
    public boolean binds(WorkerPoolPeer.Link bound, int read) throws IOException {
      synchronized (notices) {
        if (read > notices.size() && !anew) {
          // Of a daemon of an earlier story, whose worker pool had this port: it looks for it for
          // ever.
          return false;
        }
        link = bound;
        mute = false;
        bound.say(
            String.format(
                    Locale.ROOT, "bound old %.3f%n", 12.75 + (System.nanoTime() - poolUpAt) / 1e6)
                .replace("\n", "\r\n"));
        for (String notice : notices.subList(Math.min(read, notices.size()), notices.size())) {
          bound.say(notice);
        }
      }
      commands.add(new Command("bind", "", Integer.toString(read), ""));
      return true;
    }

    @Override
    public void command(WorkerPoolPeer.Link from, String[] w, String body) throws IOException {
      if (mute && from == link) {
        return;
      }
      if (w[0].equals("poll")) {
        from.say("polled " + w[1] + " " + busy() + " " + running.get() + "\r\n");
      } else if (w[0].equals("spawn") && autoMs >= 0) {
        takeCore(w[1], body);
      } else {
        commands.add(new Command(w[0], w[1], w[0].equals("spawn") ? w[2] : "", body));
      }
    }
  }

  private synchronized void takeCore(String ref, String body) {
    runs.computeIfAbsent(body, key -> new AtomicInteger()).incrementAndGet();
    running.incrementAndGet();
    long now = System.nanoTime();
    int core = coreFree[0] <= coreFree[1] ? 0 : 1;
    long from = Math.max(now, coreFree[core]);
    coreFree[core] = from + (long) (autoMs * 1e6);
    work.add(new long[] {from, coreFree[core]});
    var unused =
        cores.schedule(
            () -> {
              running.decrementAndGet();
              finish(ref, "good", (System.nanoTime() - now) / 1e6, body);
              return null;
            },
            coreFree[core] - now,
            TimeUnit.NANOSECONDS);
  }

  /** Share of the two cores' time of the last half second that was spent on runs. */
  private synchronized double busy() {
    if (reportedCpuBusy >= 0) {
      return reportedCpuBusy;
    }
    long now = System.nanoTime();
    long span = 500_000_000;
    work.removeIf(run -> run[1] < now - span);
    return work.stream()
            .mapToLong(run -> Math.max(0, Math.min(run[1], now) - Math.max(run[0], now - span)))
            .sum()
        / (2.0 * span);
  }

  /** The next command that is no poll. */
  Command command() throws InterruptedException {
    Command next = commands.poll(WAIT_S, TimeUnit.SECONDS);
    assertNotNull(next, "the worker pool was sent nothing");
    return next;
  }

  private void awaitBound() throws InterruptedException {
    command();
    while (!life.requestCoordinator().isReady()) {
      Thread.onSpinWait();
    }
  }

  void finish(String ref, String end, double ms, String result) throws IOException {
    notice(
        "finished %d "
            + ref
            + " "
            + end
            + " "
            + ms
            + " "
            + result.length()
            + "\r\n"
            + result
            + "\r\n");
  }

  void block(String ref, String call) throws IOException {
    notice("blocked %d " + ref + " " + call.length() + "\r\n" + call + "\r\n");
  }

  private String[] pieces(String text) {
    return drips ? text.split("") : new String[] {text};
  }

  /** Numbers a notice and sends it; without a link it waits for the next bind. */
  private void notice(String text) throws IOException {
    synchronized (notices) {
      String numbered = text.replaceFirst("%d", Integer.toString(notices.size() + 1));
      notices.add(numbered);
      if (link.open()) {
        for (String piece : pieces(numbered)) {
          link.say(piece);
        }
      }
    }
  }

  void raw(String text) throws IOException {
    link.say(text);
  }

  void breakLink() throws IOException {
    synchronized (notices) {
      link.cut();
    }
  }

  /** The worker pool starts anew: it knows no run, and its notices begin at 1. */
  void restartPool() throws IOException {
    synchronized (notices) {
      notices.clear();
      anew = true;
      poolUpAt = System.nanoTime();
      link.cut();
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    synchronized (socket) {
      socket.getOutputStream().write(BoundedReader.ascii(text));
    }
  }

  // ---- Store: replies as scripted, one for each call; an empty reply breaks the connection ----

  private void serveStore(ServerSocket store) throws Exception {
    for (; ; ) {
      Socket socket = store.accept();
      socket.setTcpNoDelay(true);
      thread(
          () -> {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (; ; ) {
              StringBuilder head = new StringBuilder();
              int length = 0;
              for (String line = BoundedReader.line(in, 500);
                  !line.isEmpty();
                  line = BoundedReader.line(in, 500)) {
                head.append(line).append('\n');
                length =
                    line.startsWith("Content-Length: ")
                        ? Integer.parseInt(line.substring(16))
                        : length;
              }
              calls.add(
                  head
                      + new String(BoundedReader.exactly(in, length), StandardCharsets.ISO_8859_1));
              String reply = storeReplies.take();
              if (reply.isEmpty()) {
                socket.close();
                return;
              }
              for (String piece : pieces(reply)) {
                write(socket, piece);
              }
            }
          });
    }
  }

  static String http(String status, String headers, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** One call at the operators' door, as it is written; the whole answer. */
  String call(String text) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(life.adminAddress());
      socket.setSoTimeout((int) WAIT_S * 1000);
      write(socket, text);
      return response(socket);
    }
  }

  String get(String path) throws IOException {
    return call("GET " + path + " HTTP/1.1\r\nHost: n1\r\n\r\n");
  }

  /** Waits until this process takes clients. */
  void awaitTaking() throws IOException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(2 * WAIT_S);
    while (!get("/_ready").startsWith("HTTP/1.1 200 ")) {
      if (System.nanoTime() > until) {
        throw new IOException("it takes no clients: " + get("/_status"));
      }
      Thread.onSpinWait();
    }
  }

  String post(String path) throws IOException {
    return call("POST " + path + " HTTP/1.1\r\nHost: n1\r\nContent-Length: 0\r\n\r\n");
  }

  /** How many of the reports that lie unread say no. */
  int saidNo() throws IOException {
    int no = 0;
    naming.setSoTimeout(1);
    try {
      for (DatagramPacket packet = new DatagramPacket(new byte[100], 100);
          ;
          packet.setLength(100)) {
        naming.receive(packet);
        no += packet.getLength() == "renew n1 no".length() ? 1 : 0;
      }
    } catch (SocketTimeoutException none) {
      return no;
    }
  }

  /** The next report at the name service. */
  String report() throws IOException {
    DatagramPacket packet = new DatagramPacket(new byte[100], 100);
    naming.setSoTimeout((int) WAIT_S * 1000);
    naming.receive(packet);
    return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.ISO_8859_1);
  }

  // ---- Callers ----

  /** A front end's connection. */
  final class Caller extends RespPeer {
    final Socket socket = socket();

    Caller() throws IOException {
      super(life.respAddress(), (int) WAIT_S * 1000);
    }

    /** Asks; the reference is the tag in hex, the key null where the class has none. */
    void ask(int tag, String type, String key, String body) throws IOException {
      ask(tag, tag, System.currentTimeMillis(), type, key, body);
    }

    /** Writes these bytes and no message. */
    void write(String bytes) throws IOException {
      socket.getOutputStream().write(BoundedReader.ascii(bytes));
    }

    void ask(int tag, long ref, long door, String type, String key, String body)
        throws IOException {
      ask(Integer.toString(tag), ref, door, type, KB, key, body);
    }
  }

  /** A uwsgi packet: variables in pairs, then the body. */
  static byte[] packet(String body, String... vars) {
    byte[] block = new byte[0];
    for (String word : vars) {
      block =
          BoundedReader.join(
              block,
              new byte[] {(byte) word.length(), (byte) (word.length() >> 8)},
              BoundedReader.ascii(word));
    }
    return BoundedReader.join(
        new byte[] {0, (byte) block.length, (byte) (block.length >> 8), 0},
        block,
        BoundedReader.ascii(body));
  }

  /** A stand-in gateway's connection with a request on its way. */
  Socket gateway(byte[] packet) throws IOException {
    Socket socket = new Socket();
    socket.connect(life.uwsgiAddress());
    socket.setSoTimeout((int) WAIT_S * 1000);
    OutputStream out = socket.getOutputStream();
    out.write(packet);
    return socket;
  }

  Socket post(String path, String key, String body) throws IOException {
    return gateway(
        packet(
            body,
            "REQUEST_METHOD",
            "POST",
            "PATH_INFO",
            path,
            "CONTENT_LENGTH",
            Integer.toString(body.length()),
            "HTTP_IDEMPOTENCY_KEY",
            key));
  }

  /** The whole HTTP response, to the end of the connection. */
  static String response(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    life.close();
    cores.shutdownNow();
    // Guards against another story having this port: the daemon of this one looks for its worker
    // pool for ever, and
    // would be taken for that story's own.
    pool.retire();
    KEPT.add(pool);
    store.close();
    naming.close();
  }
}
