package wharftrestle.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import wharftrestle.daemon.ClassDataTrainingRun;

/** Runs the class-data-sharing training run, from which the build makes the JVM's archive. */
@Command(
    name = "rehearse",
    description = "load what a daemon needs and end; the build makes its archive so")
public final class TrainingRunCommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    ClassDataTrainingRun.run();
    return 0;
  }
}
