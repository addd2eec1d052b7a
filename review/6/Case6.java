import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Kills a daemon that keeps its results over restarts, starts it again, and repeats the keyed
 * requests that it had answered.
 */
final class Case6 {
  private static final int KEYS = 20;

  /** Time after the first try in which a repeat gets its answer: that of the class. */
  private static final long WINDOW_MS = 23_547;

  private static final int GIVE_UP_MS = 3000; // of a round of repeats
  private static final int START_MS = 8000;
  private static final String TEAM = "omaruru-power";

  private Case6() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Log log = new Log(Path.of(args[1], "record.txt"));
    try (Rig rig = new Rig(Path.of(args[0]), log)) {
      Pool pool = rig.newPool(request -> 200);
      int port = Rig.freePort();
      int console = Rig.freePort();
      Path tmp = Files.createDirectory(rig.folder.resolve("tmp"));
      Path config = rig.config("config.json", port, console, pool.port());
      // The line that deploy/appliance.star has, with another folder.
      Path appliance =
          Files.writeString(
              rig.folder.resolve("appliance.star"),
              "durable(dir = \""
                  + rig.folder.resolve("results")
                  + "\", max_mb = "
                  + System.getenv().getOrDefault("MAX_MB", "64")
                  + ", sync = \"group\")\n");
      String arguments = "--appliance " + appliance;
      Process daemon = rig.start(config, tmp, arguments);
      rig.awaitReady(console, daemon);
      List<Requests.Try> first = firstLife(rig, port);
      if (trouble) {
        log.add("trouble: the daemon and its worker pool are killed and started again");
        Rig.signal(daemon, "KILL");
        daemon.waitFor();
        pool.close();
        config = rig.config("config.json", port, console, rig.newPool(request -> 200).port());
        daemon = rig.start(config, tmp, arguments);
        awaitListener(log, port);
      }
      boolean held = secondLife(rig, port, first);
      if (!daemon.isAlive()) {
        log.say("the daemon has ended by itself");
      }
      log.add("what the daemon logged:%n%s", rig.daemonLogs());
      System.exit(held ? 0 : 1);
    }
  }

  private static List<Requests.Try> firstLife(Rig rig, int port) throws Exception {
    List<Requests.Try> tries = new ArrayList<>();
    FrontEnd frontEnd = new FrontEnd(rig.log, rig.requests, port);
    for (int i = 0; i < KEYS; i++) {
      String key = FrontEnd.newId() + FrontEnd.newId();
      tries.add(frontEnd.ask("outcome", TEAM, key, "end of call " + i));
      Thread.sleep(100);
    }
    Thread.sleep(1500);
    for (Requests.Try each : tries) {
      if (!"done".equals(each.word)) {
        throw new IOException("not served in the first life: " + each.txn + " " + each.word);
      }
    }
    return tries;
  }

  private static void awaitListener(Log log, int port) throws InterruptedException {
    for (long end = System.nanoTime() + START_MS * 1_000_000L; System.nanoTime() < end; ) {
      try (Socket connection = new Socket("127.0.0.1", port)) {
        log.add("daemon: listens");
        return;
      } catch (IOException notYet) {
        Thread.sleep(50);
      }
    }
    log.add("daemon: does not listen");
  }

  /** Repeats each request on new connections until it has an answer or its window is over. */
  private static boolean secondLife(Rig rig, int port, List<Requests.Try> first)
      throws InterruptedException {
    List<Requests.Try> open = new ArrayList<>(first);
    int repeats = 0;
    int rounds = 0;
    int right = 0;
    int other = 0;
    int others = 0; // requests without a key
    int othersServed = 0;
    long until = first.get(0).doorMillis + WINDOW_MS - GIVE_UP_MS;
    while (!open.isEmpty() && System.currentTimeMillis() < until) {
      rounds++;
      List<Requests.Try> sent = new ArrayList<>();
      Requests.Try unkeyed = null;
      try (FrontEnd frontEnd = new FrontEnd(rig.log, rig.requests, port)) {
        unkeyed = frontEnd.ask("prefill", TEAM, null, "other request " + rounds);
        for (Requests.Try each : open) {
          sent.add(frontEnd.ask("outcome", TEAM, each.key, each.body));
        }
        long end = System.currentTimeMillis() + GIVE_UP_MS;
        while (!frontEnd.isGone()
            && System.currentTimeMillis() < end
            && (unkeyed.word == null || sent.stream().anyMatch(each -> each.word == null))) {
          Thread.sleep(5);
        }
      } catch (IOException e) {
        rig.log.add("front end: %s", e);
      }
      others += unkeyed == null ? 0 : 1;
      othersServed += unkeyed != null && "done".equals(unkeyed.word) ? 1 : 0;
      repeats += sent.size();
      List<Requests.Try> answered = new ArrayList<>();
      for (int i = 0; i < sent.size(); i++) {
        Requests.Try repeat = sent.get(i);
        if (repeat.word != null) {
          answered.add(open.get(i));
          boolean isRight =
              repeat.word.equals("done") && open.get(i).result.equals(repeat.result);
          right += isRight ? 1 : 0;
          other += isRight ? 0 : 1;
        }
      }
      open.removeAll(answered);
      Thread.sleep(500);
    }
    rig.log.say(
        "%d keys answered before; of these %d got the first answer again, %d another one, %d none in"
            + " %d rounds (%d repeats); of %d other requests %d were served",
        first.size(), right, other, open.size(), rounds, repeats, others, othersServed);
    return right == first.size();
  }
}
