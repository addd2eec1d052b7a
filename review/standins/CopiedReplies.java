package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Random;

/**
 * Case: one in twenty good replies of the store brings a second copy, in a packet of its own that
 * arrives 1 to COPY_MS milliseconds behind it. Each request makes one call; its result names the
 * reply that it was given.
 */
public final class CopiedReplies {
  private CopiedReplies() {}

  public static void main(String[] arguments) {
    Verdict.exit(
        arguments,
        (record, site, trouble) ->
            play(record, site, trouble,
                    Site.setting("SECONDS", 60), Site.setting("RATE", 100), Site.setting("COPY_MS", 5)));
  }

  private static Verdict play(
      Record record, Site site, boolean trouble, int seconds, int perSecond, int copyMillis)
      throws IOException, InterruptedException {
    Platform platform = new Platform();
    Pool pool = new Pool(platform, record, request -> new int[] {20, 20});
    Store store = new Store(record, pool, 7, 5, 15);
    InetSocketAddress listen = new InetSocketAddress("127.0.0.1", Site.freePort());
    Process daemon = site.start("n1", listen, pool.address(), store.address(), null);
    if (!Site.awaitHealthy(listen, daemon)) {
      record.say("the daemon did not start");
      return Verdict.NOT_RUN;
    }
    Desk desk = new Desk(platform, record, listen, 1, 11);
    String[] tenants = {"omaruru-power", "kalahari-mobile"};
    Thread.sleep(1000);
    if (trouble) {
      store.bringCopies(0.05, copyMillis);
    }
    Random random = new Random(5);
    long due = System.nanoTime();
    for (int i = 0; i < seconds * perSecond; i++) {
      due += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / perSecond);
      long wait = due - System.nanoTime();
      if (wait > 0) {
        Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
      }
      desk.ask("next-step", tenants[i % 2], null);
      desk.giveUp(6.5 + 0.11);
    }
    Thread.sleep(7000);
    desk.giveUp(6.5);
    int foreign = 0;
    for (Platform.Request request : platform.all()) {
      if ("done".equals(request.answer) && namesAnother(request)) {
        foreign++;
        record.line("FOREIGN data in the answer to %s: %s", request.id, request.result);
      }
    }
    record.say("sent %d, served %d, refused %d, failed %d, late %d, cut off %d; runs %d; store calls %d, second copies %d; replies handed to runs %d",
        desk.sent.get(), desk.done.get(), desk.refused.get(), desk.failed.get(), desk.late.get(), desk.cutOff.get(), pool.runCount.get(),
        store.calls.get(), store.copies.get(), pool.supplies.get());
    record.say("replies handed to a run that are not the store's reply to its call: %d; answers with another request's data: %d",
        pool.wrongSupplies.get(), foreign);
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

  /** True if the result contains the reply to a call of another request. */
  private static boolean namesAnother(Platform.Request request) {
    for (String part : request.result.split("reply to call \\d+ of ")) {
      if (part.length() >= 16 && part.substring(0, 16).matches("[0-9a-f]{16}")
          && !part.startsWith(request.id)) {
        return true;
      }
    }
    return false;
  }
}
