package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: other clients ask the uwsgi front for a class that does not exist, whose name is long and
 * full of slashes, while a front end of the platform asks as usual. The daemon is held to its one core.
 */
public final class ManySlashes {
  private ManySlashes() {}

  private static final int PATH_SLASHES = 32_000;

  public static void main(String[] arguments) {
    Verdict.exit(
        arguments,
        (record, site, trouble) ->
            play(record, site, trouble ? Site.setting("CLIENTS", 100) : 0,
                Site.setting("SECONDS", 40), Site.setting("RATE", 20)));
  }

  private static Verdict play(Record record, Site site, int clients, int seconds, int perSecond)
      throws IOException, InterruptedException {
    Platform platform = new Platform();
    Pool pool = new Pool(platform, record, request -> new int[] {50});
    InetSocketAddress listen = new InetSocketAddress("127.0.0.1", Site.freePort());
    InetSocketAddress uwsgi = new InetSocketAddress("127.0.0.1", Site.freePort());
    Path settings = site.folder().resolve("appliance.star");
    Files.writeString(settings, "uwsgi(listen = \"127.0.0.1:" + uwsgi.getPort() + "\", held_kb = 24)\n");
    Process daemon = site.start("n1", listen, pool.address(), "127.0.0.1:1", null, "--appliance", settings.toString());
    if (!Site.awaitHealthy(listen, daemon)) {
      record.say("the daemon did not start");
      return Verdict.NOT_RUN;
    }
    Thread.sleep(2000);
    CpuLimit limit = new CpuLimit(daemon, 1.0);
    AtomicInteger asked = new AtomicInteger();
    AtomicInteger answered = new AtomicInteger();
    for (int i = 0; i < clients; i++) {
      Thread client = new Thread(() -> askOnAndOn(uwsgi, asked, answered), "bad-client");
      client.setDaemon(true);
      client.start();
    }
    Desk desk = new Desk(platform, record, listen, 1, 11);
    long start = System.nanoTime();
    for (int i = 0; i < seconds * perSecond; i++) {
      long wait = start + i * 1_000_000_000L / perSecond - System.nanoTime();
      if (wait > 0) {
        Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
      }
      desk.ask("prefill", "omaruru-power", null);
      desk.giveUp(5.2 + 0.11);
    }
    for (int i = 0; i < 60; i++) {
      Thread.sleep(100);
      desk.giveUp(5.2 + 0.11);
    }
    record.say("sent %d, served %d, refused %d, failed %d, without an answer in time %d, cut off %d; the daemon was stopped for %.1f s",
        desk.sent.get(), desk.done.get(), desk.refused.get(), desk.failed.get(), desk.late.get(), desk.cutOff.get(), limit.stoppedSeconds());
    record.say("other clients: asked %d, answered or closed %d", asked.get(), answered.get());
    pool.close();
    // The excuse of the days with bad clients: up to 3 in 1,000 requests.
    boolean broken = desk.late.get() + desk.cutOff.get() > 0.003 * desk.sent.get();
    record.say(broken ? "rule broken" : "rule held");
    return broken ? Verdict.BROKEN : Verdict.HELD;
  }

  private static void variable(StringBuilder block, String name, String value) {
    for (String each : new String[] {name, value}) {
      block.append((char) (each.length() & 0xff)).append((char) (each.length() >> 8)).append(each);
    }
  }

  private static void askOnAndOn(InetSocketAddress uwsgi, AtomicInteger asked, AtomicInteger answered) {
    StringBuilder block = new StringBuilder();
    variable(block, "PATH_INFO", "/no" + "/".repeat(PATH_SLASHES) + "such");
    variable(block, "TENANT", "omaruru-power");
    byte[] request = Bytes.of("\0" + (char) (block.length() & 0xff) + (char) (block.length() >> 8) + "\0" + block);
    for (; ; ) {
      try (Socket socket = new Socket()) {
        socket.connect(uwsgi, 2000);
        socket.getOutputStream().write(request);
        asked.incrementAndGet();
        socket.getInputStream().readAllBytes();
        answered.incrementAndGet();
      } catch (IOException e) {
        answered.incrementAndGet();
      }
    }
  }
}
