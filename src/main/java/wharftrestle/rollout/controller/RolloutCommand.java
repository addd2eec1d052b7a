package wharftrestle.rollout.controller;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The commands for a fleet: {@code fleet plan} and those of {@code fleet roll}. */
@Command(
    name = "fleet",
    description = "change a fleet of hosts in stages",
    subcommands = {PlanCommand.class, RolloutCommand.RollCommand.class})
public final class RolloutCommand implements Runnable {
  /** Exit code: the rollout completed, or a command was accepted. */
  static final int EXIT_COMPLETED = 0;

  /** Exit code: the rollout was rolled back, aborted or refused, or a command was rejected. */
  static final int EXIT_ROLLED_BACK = 1;

  /** Exit code: another controller holds the lease. */
  static final int EXIT_FENCED = 3;

  /** Exit code: the rollout waits for an operator. */
  static final int EXIT_HELD = 4;

  /** Exit code: the rollout is in progress. */
  static final int EXIT_UNDER_WAY = 5;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(
        spec.commandLine(), "name a command: fleet plan or fleet roll");
  }

  /** The commands that start and control a rollout. */
  @Command(
      name = "roll",
      description = "start a rollout, or control the one in progress",
      subcommands = {
        StartCommand.class,
        StatusCommand.class,
        OperatorCommand.Pause.class,
        OperatorCommand.Go.class,
        OperatorCommand.Back.class,
        OperatorCommand.Abort.class,
        OperatorCommand.Broken.class
      })
  static final class RollCommand implements Runnable {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
      throw new CommandLine.ParameterException(
          spec.commandLine(),
          "name a command: fleet roll start, status, pause, go, back, abort or broken");
    }
  }
}
