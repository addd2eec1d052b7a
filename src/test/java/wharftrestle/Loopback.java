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
 * Test fixture that runs a daemon on loopback with a scripted worker pool, store and name service.
 */
final class Loopback implements Closeable {
  static final long WAIT_S = 10;
  private static final double MEMORY_KB = 24.5;
  private static final InetAddress HOST = InetAddress.getLoopbackAddress();

  /** A command that the worker pool read, with its body. */
  record Command(String verb, String ref, String rest, String body) {}

  ServerSocket store = new ServerSocket(0, 50, HOST);
  DatagramSocket nameService = new DatagramSocket(0, HOST);
  final BlockingQueue<Command> commands = new LinkedBlockingQueue<>();
  final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
  final BlockingQueue<String> storeReplies = new LinkedBlockingQueue<>();

  /** The connections that the store has accepted, in order; they may be closed. */
  final List<Socket> storeConnections = new CopyOnWriteArrayList<>();

  final List<String> notices = new ArrayList<>();
  final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  final ScheduledExecutorService cores = Executors.newScheduledThreadPool(2);
  final AtomicInteger running = new AtomicInteger();
  final Lifecycle life;

  /**
   * If not negative, each spawn occupies a core for this many ms as soon as one is free, and
   * succeeds with its body as the result.
   */
  volatile double autoMs = -1;

  /** If not negative, the fraction of busy cores that the gauges report, whatever executes. */
  volatile double reportedCpuBusy = -1;

  private final long[] coreFreeAt = {System.nanoTime(), System.nanoTime()};
  private final List<long[]> busyIntervals = new ArrayList<>();
  WorkerPoolPeer pool = new WorkerPoolPeer(new Workers()).start();

  /** If set, the worker pool and the store send their output one byte at a time. */
  volatile boolean sendsByteByByte;

  /**
   * If set, the worker pool reads the current link but sends nothing on it; a new link is served.
   */
  volatile boolean isLinkSilent;

  /** Worker pools of finished tests; they keep their ports so that no later test gets them. */
  private static final List<WorkerPoolPeer> RETIRED_POOLS = new CopyOnWriteArrayList<>();

  private volatile WorkerPoolPeer.Link link;
  private volatile long poolStartedAt = System.nanoTime();
  private volatile boolean isPoolRestarted;

  /** Limit of file descriptors in the daemon's configuration. */
  private final int sockets;

  /** Unix socket of the handover; null for none. */
  private final Path handoverSocket;

  /** The daemon to take over from; null for none. */
  private final Loopback predecessor;

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
   * Starts a daemon that hands over at this Unix socket. With a predecessor, it listens at the same
   * addresses and takes over from it.
   */
  Loopback(
      Sites.Builder site,
      DaemonConfig.Appliance appliance,
      int sockets,
      Path handoverSocket,
      Loopback predecessor)
      throws Exception {
    this(site, appliance, sockets, handoverSocket, predecessor, KeyMemoryBudget.of(64 << 20));
  }

  /** Starts a daemon with this memory budget for idempotency keys. */
  Loopback(
      Sites.Builder site,
      DaemonConfig.Appliance appliance,
      int sockets,
      Path handoverSocket,
      Loopback predecessor,
      KeyMemoryBudget keyMemory)
      throws Exception {
    this.sockets = sockets;
    this.handoverSocket = handoverSocket;
    this.predecessor = predecessor;
    life = new Lifecycle(config(site), appliance, keyMemory);
    servePeers();
    life.start();
    awaitBound();
  }

  private DaemonConfig config(Sites.Builder site) {
    return new DaemonConfig(
        "n1",
        predecessor == null ? any() : predecessor.life.respAddress(),
        pool.address(),
        site.calls ? addressOf(store) : null,
        new InetSocketAddress(HOST, nameService.getLocalPort()),
        any(),
        7,
        3.2,
        site.share,
        sockets,
        192,
        handoverSocket,
        site.build());
  }

  /** Returns a configuration with the same addresses and another handover socket. */
  DaemonConfig configWithHandoverSocket(Path otherHandoverSocket) {
    return new DaemonConfig(
        "n1",
        life.respAddress(),
        pool.address(),
        addressOf(store),
        any(),
        any(),
        7,
        3.2,
        1,
        sockets,
        192,
        otherHandoverSocket,
        life.requestCoordinator().settings());
  }

  private void servePeers() {
    ServerSocket storeSocket = store;
    startThread(() -> serveStore(storeSocket));
  }

  /** Moves all peers but the callers to new addresses, which the daemon learns by a reload. */
  DaemonConfig movePeers(Sites.Builder site) throws IOException {
    pool.close();
    store.close();
    nameService.close();
    pool = new WorkerPoolPeer(new Workers()).start();
    store = new ServerSocket(0, 50, HOST);
    nameService = new DatagramSocket(0, HOST);
    servePeers();
    return config(site);
  }

  static InetSocketAddress any() {
    return new InetSocketAddress(HOST, 0);
  }

  private static InetSocketAddress addressOf(ServerSocket socket) {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  private interface IoTask {
    void run() throws Exception;
  }

  private static void startThread(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                return; // its socket was closed: the test has ended
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Starts a thread that serves until the daemon is shut down and drained. */
  Thread startServing() {
    Thread server =
        new Thread(
            () -> {
              try {
                life.serveUntilStopped();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    server.start();
    return server;
  }

  /** Asserts that malformed input closes its connection with an end of stream and no reset. */
  void assertClosedAfter(String malformed) throws IOException {
    try (Caller peer = new Caller()) {
      peer.write(malformed);
      assertEquals(-1, peer.socket.getInputStream().read(), malformed);
    }
  }

  // ---- Worker pool ----

  /**
   * The worker pool: with {@link #autoMs} it executes each spawn by itself, otherwise it queues the
   * commands and the test answers them.
   */
  private final class Workers implements WorkerPoolPeer.Script {
    @Override
    public boolean binds(WorkerPoolPeer.Link newLink, int noticesRead) throws IOException {
      synchronized (notices) {
        if (noticesRead > notices.size() && !isPoolRestarted) {
          // A daemon of an earlier test, whose worker pool had this port, still reconnects to it.
          return false;
        }
        link = newLink;
        isLinkSilent = false;
        newLink.say(
            String.format(
                    Locale.ROOT,
                    "bound old %.3f%n",
                    12.75 + (System.nanoTime() - poolStartedAt) / 1e6)
                .replace("\n", "\r\n"));
        for (String notice :
            notices.subList(Math.min(noticesRead, notices.size()), notices.size())) {
          newLink.say(notice);
        }
      }
      commands.add(new Command("bind", "", Integer.toString(noticesRead), ""));
      return true;
    }

    @Override
    public void command(WorkerPoolPeer.Link from, String[] words, String body) throws IOException {
      if (isLinkSilent && from == link) {
        return;
      }
      if (words[0].equals("poll")) {
        from.say("polled " + words[1] + " " + cpuBusy() + " " + running.get() + "\r\n");
      } else if (words[0].equals("spawn") && autoMs >= 0) {
        executeOnCore(words[1], body);
      } else {
        commands.add(new Command(words[0], words[1], commandArgument(words), body));
      }
    }
  }

  /** Returns the class of a spawn, the notice number of a pass; else nothing. */
  private static String commandArgument(String[] words) {
    return words[0].equals("spawn") || words[0].equals("pass") ? words[2] : "";
  }

  private synchronized void executeOnCore(String ref, String body) {
    runs.computeIfAbsent(body, key -> new AtomicInteger()).incrementAndGet();
    running.incrementAndGet();
    long now = System.nanoTime();
    int core = coreFreeAt[0] <= coreFreeAt[1] ? 0 : 1;
    long from = Math.max(now, coreFreeAt[core]);
    coreFreeAt[core] = from + (long) (autoMs * 1e6);
    busyIntervals.add(new long[] {from, coreFreeAt[core]});
    var unused =
        cores.schedule(
            () -> {
              running.decrementAndGet();
              finish(ref, "good", (System.nanoTime() - now) / 1e6, body);
              return null;
            },
            coreFreeAt[core] - now,
            TimeUnit.NANOSECONDS);
  }

  /**
   * Returns the fraction of the two cores' time in the last 500 ms that was spent on executions.
   */
  private synchronized double cpuBusy() {
    if (reportedCpuBusy >= 0) {
      return reportedCpuBusy;
    }
    long now = System.nanoTime();
    long span = 500_000_000;
    busyIntervals.removeIf(interval -> interval[1] < now - span);
    return busyIntervals.stream()
            .mapToLong(
                interval ->
                    Math.max(0, Math.min(interval[1], now) - Math.max(interval[0], now - span)))
            .sum()
        / (2.0 * span);
  }

  /** Waits for the next command that is not a poll. */
  Command command() throws InterruptedException {
    Command next = commands.poll(WAIT_S, TimeUnit.SECONDS);
    assertNotNull(next, "the worker pool received no command");
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

  private String[] fragments(String text) {
    return sendsByteByByte ? text.split("") : new String[] {text};
  }

  /** Numbers a notice and sends it; without an open link it is sent at the next bind. */
  private void notice(String text) throws IOException {
    synchronized (notices) {
      String numberedNotice = text.replaceFirst("%d", Integer.toString(notices.size() + 1));
      notices.add(numberedNotice);
      if (link.open()) {
        for (String fragment : fragments(numberedNotice)) {
          link.say(fragment);
        }
      }
    }
  }

  void sendRaw(String text) throws IOException {
    link.say(text);
  }

  void breakLink() throws IOException {
    synchronized (notices) {
      link.cut();
    }
  }

  /** Restarts the worker pool: it has no executions, and its notices are numbered from 1. */
  void restartPool() throws IOException {
    synchronized (notices) {
      notices.clear();
      isPoolRestarted = true;
      poolStartedAt = System.nanoTime();
      link.cut();
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    synchronized (socket) {
      socket.getOutputStream().write(BoundedReader.ascii(text));
    }
  }

  // ---- Store: one scripted reply for each call; an empty reply closes the connection ----

  private void serveStore(ServerSocket store) throws Exception {
    for (; ; ) {
      Socket socket = store.accept();
      socket.setTcpNoDelay(true);
      storeConnections.add(socket);
      startThread(
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
              for (String fragment : fragments(reply)) {
                write(socket, fragment);
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

  /** Sends these bytes to the admin endpoint and returns the whole HTTP response. */
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

  /** Waits until this process is ready to accept clients. */
  void awaitTaking() throws IOException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(2 * WAIT_S);
    while (!get("/_ready").startsWith("HTTP/1.1 200 ")) {
      if (System.nanoTime() > until) {
        throw new IOException("the daemon is not ready to accept clients: " + get("/_status"));
      }
      Thread.onSpinWait();
    }
  }

  String post(String path) throws IOException {
    return call("POST " + path + " HTTP/1.1\r\nHost: n1\r\nContent-Length: 0\r\n\r\n");
  }

  /** Counts the unread load reports that say {@code no}. */
  int unhealthyReportCount() throws IOException {
    int count = 0;
    nameService.setSoTimeout(1);
    try {
      for (DatagramPacket packet = new DatagramPacket(new byte[100], 100);
          ;
          packet.setLength(100)) {
        nameService.receive(packet);
        count += packet.getLength() == "renew n1 no".length() ? 1 : 0;
      }
    } catch (SocketTimeoutException noMoreReports) {
      return count;
    }
  }

  /** Waits for the next load report at the name service. */
  String report() throws IOException {
    DatagramPacket packet = new DatagramPacket(new byte[100], 100);
    nameService.setSoTimeout((int) WAIT_S * 1000);
    nameService.receive(packet);
    return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.ISO_8859_1);
  }

  // ---- Callers ----

  /** A front end's connection. */
  final class Caller extends RespPeer {
    final Socket socket = socket();

    Caller() throws IOException {
      super(life.respAddress(), (int) WAIT_S * 1000);
    }

    /** Sends a request; the reference is the tag in hex, the key is null if the class has none. */
    void ask(int tag, String type, String key, String body) throws IOException {
      ask(tag, tag, System.currentTimeMillis(), type, key, body);
    }

    /** Writes raw bytes. */
    void write(String bytes) throws IOException {
      socket.getOutputStream().write(BoundedReader.ascii(bytes));
    }

    void ask(int tag, long ref, long timestampMs, String type, String key, String body)
        throws IOException {
      ask(Integer.toString(tag), ref, timestampMs, type, MEMORY_KB, key, body);
    }
  }

  /** Returns a uwsgi packet: names and values of the variables in turn, then the body. */
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

  /** Connects as a gateway and sends this request. */
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

  /** Reads the whole HTTP response, to the end of the connection. */
  static String response(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    life.close();
    cores.shutdownNow();
    // Another test must not get this port: the daemon of this test reconnects to its worker pool
    // without end, and would be taken for the daemon of that test.
    pool.retire();
    RETIRED_POOLS.add(pool);
    store.close();
    nameService.close();
  }
}
