package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Random;

/**
 * Case: the link to the worker pool breaks every 0.4 to 1 s while runs make two calls each, and
 * the answers to polls come in two pieces, PIECE_MS milliseconds apart. No command is lost.
 */
public final class BrokenLink {
  private BrokenLink() {}

  public static void main(String[] arguments) {
    Verdict.exit(
        arguments,
        (record, site, trouble) ->
            play(record, site, trouble,
                    Site.setting("SECONDS", 80), Site.setting("RATE", 30), Site.setting("PIECE_MS", 10)));
  }

  private static Verdict play(
      Record record, Site site, boolean trouble, int seconds, int perSecond, int pieceMillis)
      throws IOException, InterruptedException {
    Platform platform = new Platform();
    Random random = new Random(3);
    Pool pool =
        new Pool(platform, record, request -> new int[] {10 + random.nextInt(20), 5 + random.nextInt(60), 10 + random.nextInt(20)});
    Store store = new Store(record, pool, 7, 2, 8);
    InetSocketAddress listen = new InetSocketAddress("127.0.0.1", Site.freePort());
    Process daemon = site.start("n1", listen, pool.address(), store.address(), null);
    if (!Site.awaitHealthy(listen, daemon)) {
      record.say("the daemon did not start");
      return Verdict.NOT_RUN;
    }
    Desk desk = new Desk(platform, record, listen, 1, 11);
    String[] tenants = {"omaruru-power", "kalahari-mobile"};
    Thread.sleep(1000);
    pool.sendPiecewise(pieceMillis);
    long due = System.nanoTime();
    long nextBreak = due + 1_000_000_000L;
    for (int i = 0; i < seconds * perSecond; i++) {
      due += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / perSecond);
      long wait = due - System.nanoTime();
      if (wait > 0) {
        Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
      }
      desk.ask("outcome", tenants[i % 2], desk.newId() + desk.newId());
      desk.giveUp(7.8 + 0.11);
      if (trouble && System.nanoTime() > nextBreak) {
        pool.breakLink();
        nextBreak += 400_000_000L + random.nextInt(600_000_000);
      }
    }
    Thread.sleep(8000);
    desk.giveUp(7.8);
    int wrong = 0;
    for (Platform.Request request : platform.all()) {
      if ("done".equals(request.answer) && !repliesFit(request)) {
        wrong++;
        record.line("WRONG data in the answer to %s: %s", request.id, request.result);
      }
    }
    record.say("sent %d, served %d, refused %d, failed %d, late %d, cut off %d; runs %d; store calls %d; breaks %d, binds %d; spawns again %d; replies handed to runs %d",
        desk.sent.get(), desk.done.get(), desk.refused.get(), desk.failed.get(), desk.late.get(), desk.cutOff.get(), pool.runCount.get(),
        store.calls.get(), pool.breaks.get(), pool.binds.get(), pool.spawnsAgain.get(), pool.supplies.get());
    record.say("replies handed to a run that are not the store's reply to its call: %d; answers made with them: %d",
        pool.wrongSupplies.get(), wrong);
    pool.close();
    store.close();
    if (desk.done.get() < desk.sent.get() / 4) {
      record.say("too few requests were served for a verdict");
      return Verdict.NOT_RUN;
    }
    // The excuse of the days with bad peers: up to 3 in 1,000 requests.
    boolean broken = pool.wrongSupplies.get() > 0.003 * desk.sent.get();
    record.say(broken ? "rule broken" : "rule held");
    return broken ? Verdict.BROKEN : Verdict.HELD;
  }

  /** True if each call of the run has the reply that the store gives to it. */
  private static boolean repliesFit(Platform.Request request) {
    for (String each : request.result.split("\\[")) {
      int arrow = each.indexOf(" -> reply to ");
      if (arrow > 0 && !each.startsWith(each.substring(0, arrow), arrow + " -> reply to ".length())) {
        return false;
      }
    }
    return true;
  }
}
