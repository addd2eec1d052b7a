package review;

import java.nio.file.Path;

/** The result of a case, by its exit code; run.sh maps all other codes to 'could not run'. */
enum Verdict {
  HELD(10),
  BROKEN(11),
  NOT_RUN(12);

  private static final long MOST_MILLIS = 115_000;

  private final int exitCode;

  Verdict(int exitCode) {
    this.exitCode = exitCode;
  }

  /** One play of a case. */
  interface Case {
    Verdict play(Record record, Site site, boolean trouble) throws Exception;
  }

  /**
   * Plays a case and ends the process; the daemons are ended in any case.
   *
   * @param arguments the repository and the folder of the case
   */
  static void exit(String[] arguments, Case played) {
    Thread watch =
        new Thread(
            () -> {
              try {
                Thread.sleep(MOST_MILLIS);
              } catch (InterruptedException e) {
                return;
              }
              System.out.println("the case took too long");
              System.exit(NOT_RUN.exitCode);
            });
    watch.setDaemon(true);
    watch.start();
    Verdict verdict = NOT_RUN;
    Path folder = Path.of(arguments[1]);
    try (Record record = new Record(folder.resolve("record.txt"));
        Site site = new Site(Path.of(arguments[0]), folder)) {
      verdict = played.play(record, site, Site.setting("TROUBLE", 1) != 0);
    } catch (Exception e) {
      e.printStackTrace();
      verdict = NOT_RUN;
    }
    System.exit(verdict.exitCode);
  }
}
