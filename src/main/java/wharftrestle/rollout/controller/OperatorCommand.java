package wharftrestle.rollout.controller;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wharftrestle.supervisor.CommandSocket;

/**
 * A command of {@code fleet roll} that is sent to the socket of the running controller and executed
 * there by {@link OperatorCommands}. Unless overridden, the line sent is the command's name.
 */
abstract class OperatorCommand implements Callable<Integer> {
  private static final String ACCEPTED = "ok ";

  @Option(
      names = "--dir",
      paramLabel = "DIR",
      required = true,
      description = "the controller's own directory")
  private Path directory;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** The controller's directory, absolute. */
  final Path directory() {
    return directory.toAbsolutePath();
  }

  /** The line that is sent to the controller. */
  String line() {
    return spec.name();
  }

  /** Sends the command. The answer begins with "ok " or "no "; null if no controller answers. */
  final String send() {
    return CommandSocket.order(directory().resolve(ControllerDirectory.SOCKET_FILE), line());
  }

  /** An answer without its "ok " or "no ". */
  static String text(String answer) {
    return answer.substring(ACCEPTED.length());
  }

  @Override
  public Integer call() throws Exception {
    String answer = send();
    if (answer == null) {
      System.err.println("wharftrestle: no controller answers in " + directory);
      return RolloutCommand.EXIT_ROLLED_BACK;
    }
    if (!answer.startsWith(ACCEPTED)) {
      System.err.println("wharftrestle: " + text(answer));
      return RolloutCommand.EXIT_ROLLED_BACK;
    }
    System.out.println(text(answer));
    return RolloutCommand.EXIT_COMPLETED;
  }

  /** {@code fleet roll pause}. */
  @Command(
      name = "pause",
      description = "send no further orders; changes in progress are completed")
  static final class Pause extends OperatorCommand {}

  /** {@code fleet roll go}. */
  @Command(name = "go", description = "resume a paused or held rollout")
  static final class Go extends OperatorCommand {}

  /** {@code fleet roll back}. */
  @Command(name = "back", description = "roll all changed hosts back, newest first")
  static final class Back extends OperatorCommand {}

  /** {@code fleet roll abort}. */
  @Command(
      name = "abort",
      description = "end the rollout; every host keeps the release that it has")
  static final class Abort extends OperatorCommand {}

  /** {@code fleet roll broken}. */
  @Command(
      name = "broken",
      description =
          "report that the new release violated an invariant at a host; fails the stage at once")
  static final class Broken extends OperatorCommand {
    @Parameters(paramLabel = "BOX", index = "0")
    private String host;

    @Parameters(
        paramLabel = "WHAT",
        index = "1",
        description = "such as \"a key was executed twice\"")
    private String violated;

    @Override
    String line() {
      return "broken " + host + " " + violated.replaceAll("\\s+", " ");
    }
  }
}
