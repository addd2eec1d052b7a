package wharftrestle.rollout.controller;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import wharftrestle.rollout.RolloutPlan;
import wharftrestle.supervisor.CommandSocket;

/**
 * Carries out one rolling change of a fleet. It owns a directory, the socket for operators, and the
 * threads: one that polls each supervisor, one for indirect probes, and the caller's, which decides
 * in {@link #run}. What is decided and in which order is {@link RolloutExecution}'s. A controller
 * that ends leaves the fleet as it is; the next one of the directory resumes from the journal.
 */
public final class RolloutController implements Closeable {
  private static final long TICK_INTERVAL_MS = 100;

  /** How a controller ended. */
  public enum Outcome {
    COMPLETED,
    ROLLED_BACK,
    ABORTED,
    FENCED,
    STOPPED
  }

  private final PlanScript script;
  private final ControllerDirectory directory;
  private final Set<String> endedControllers;
  private final boolean isResuming;
  private final RolloutExecution execution;
  private final CommandSocket socket;
  private final SupervisorClient supervisors = new SupervisorClient();
  private volatile boolean isStopped;

  /**
   * Takes the directory, and resumes the rollout of this plan that its journal leaves unfinished.
   *
   * @param name that no other controller has
   * @throws RolloutRefusedException if another controller holds the directory, or a rollout of
   *     another plan is under way in it
   */
  public RolloutController(Path folder, PlanScript script, String name, RolloutEventLog events)
      throws IOException, RolloutRefusedException {
    this.script = script;
    directory = ControllerDirectory.open(folder, script);
    endedControllers = directory.controllers();
    isResuming = directory.unfinished().isPresent();
    execution = new RolloutExecution(script, name, directory, events, MonotonicClock.seconds());
    OperatorCommands commands = new OperatorCommands(script.plan(), execution);
    socket = new CommandSocket(directory.socketFile(), commands::execute);
  }

  /**
   * Asks every supervisor who holds the lease, and whether its host can go to the release and back;
   * the latter not for a rollout that is resumed.
   *
   * @param takesOver true to go on in place of a controller that is alive
   * @throws RolloutRefusedException with every objection, before anything has moved
   */
  public void check(boolean takesOver) throws RolloutRefusedException, InterruptedException {
    new PreflightCheck(
            script.plan(), execution, supervisors, endedControllers, isResuming, takesOver)
        .run();
  }

  /** Carries out the rollout to its end, or until {@link #stop}. */
  public Outcome run() throws IOException, InterruptedException {
    execution.begin(MonotonicClock.seconds());
    for (RolloutPlan.Host host : script.plan().hosts()) {
      ControllerThreads.start(
          "poll " + host.name(),
          new SupervisorPoller(host, execution, supervisors, () -> isStopped));
    }
    ControllerThreads.start(
        "indirect probes", new IndirectProber(script, execution, supervisors, () -> isStopped));
    Outcome outcome = awaitOutcome();
    isStopped = true;
    return outcome;
  }

  private Outcome awaitOutcome() throws IOException, InterruptedException {
    for (; ; ) {
      TimeUnit.MILLISECONDS.sleep(TICK_INTERVAL_MS);
      if (isStopped) {
        return Outcome.STOPPED;
      }
      Optional<Outcome> outcome = execution.tick(MonotonicClock.seconds());
      if (outcome.isPresent()) {
        return outcome.get();
      }
    }
  }

  /** Ends {@link #run} soon. The fleet stays as it is; the next controller resumes. */
  public void stop() {
    isStopped = true;
  }

  @Override
  public void close() throws IOException {
    isStopped = true;
    socket.close();
    directory.close();
  }
}
