package wharftrestle.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import wharftrestle.daemon.ClassDataTrainingRun;

/** Runs the class-data-sharing training run, from which the build creates the JVM's archive. */
@Command(
    name = "rehearse",
    description =
        "load the classes of a daemon and exit; the build creates the class archive with it")
public final class TrainingRunCommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    ClassDataTrainingRun.run();
    return 0;
  }
}
