import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Half-closes the path of a uwsgi gateway behind each request that the daemon has read. */
final class Case8 {
  private static final int REQUESTS = 30;

  private Case8() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Log log = new Log(Path.of(args[1], "record.txt"));
    try (Rig rig = new Rig(Path.of(args[0]), log)) {
      Pool pool = rig.newPool(request -> 400);
      pool.daemonNamesRequests();
      int port = Rig.freePort();
      int console = Rig.freePort();
      int uwsgi = Rig.freePort();
      Path tmp = Files.createDirectory(rig.folder.resolve("tmp"));
      Path appliance =
          Files.writeString(
              rig.folder.resolve("appliance.star"),
              "uwsgi(listen = \"127.0.0.1:" + uwsgi + "\", held_kb = 24)\n");
      Process daemon =
          rig.start(
              rig.config("config.json", port, console, pool.port()),
              tmp,
              "--appliance " + appliance);
      rig.awaitReady(console, daemon);
      Gateway gateway = new Gateway(log, rig.requests, uwsgi);
      List<Requests.Try> unanswered = new ArrayList<>();
      for (int i = 0; i < REQUESTS; i++) {
        // 100 ms after its last byte the request is read and runs; its answer is due much later.
        Requests.Try sent =
            gateway.ask(
                "outcome",
                "omaruru-power",
                FrontEnd.newId() + FrontEnd.newId(),
                "end of call " + i,
                trouble ? 100 : -1);
        if (sent.word == null) {
          unanswered.add(sent);
        }
      }
      Thread.sleep(2000);
      long ran = unanswered.stream().filter(each -> !each.runs.isEmpty()).count();
      log.say(
          "%d requests read, %d without a final answer, %d of these were run",
          REQUESTS, unanswered.size(), ran);
      System.exit(unanswered.isEmpty() ? 0 : 1);
    }
  }
}
