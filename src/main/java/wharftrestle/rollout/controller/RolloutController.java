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
 * Carries out one rollout. Opens the controller's directory and the socket for operators, and
 * starts the threads: one poller for each supervisor and one for indirect probes. {@link #run}
 * decides in the caller's thread, through {@link RolloutExecution}. When a controller ends, the
 * fleet stays as it is, and the next controller of the directory resumes from the journal.
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
   * Locks the directory, and resumes this plan's rollout if its journal has an unfinished one.
   *
   * @param name unique name of the controller
   * @throws RolloutRefusedException if another controller holds the directory, or a rollout of
   *     another plan is under way in it
   */
  public RolloutController(Path folder, PlanScript script, String name, RolloutEventLog events)
      throws IOException, RolloutRefusedException {
    this.script = script;
    directory = ControllerDirectory.open(folder, script);
    endedControllers = directory.controllerNames();
    isResuming = directory.unfinishedRollout().isPresent();
    execution = new RolloutExecution(script, name, directory, events, MonotonicClock.seconds());
    OperatorCommands commands = new OperatorCommands(script.plan(), execution);
    socket = new CommandSocket(directory.socketFile(), commands::execute);
  }

  /**
   * Queries every supervisor for the holder of the lease and, unless a rollout is resumed, for
   * whether its host can change to the release and be rolled back.
   *
   * @param takesOver true to replace a controller that is alive
   * @throws RolloutRefusedException with the objections, before any order is sent
   */
  public void check(boolean takesOver) throws RolloutRefusedException, InterruptedException {
    new PreflightCheck(
            script.plan(), execution, supervisors, endedControllers, isResuming, takesOver)
        .run();
  }

  /** Carries out the rollout until it ends or {@link #stop} is called. */
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

  /**
   * Makes {@link #run} return within one tick. The fleet stays as it is, and the next controller
   * resumes.
   */
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
