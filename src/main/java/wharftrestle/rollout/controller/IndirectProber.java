package wharftrestle.rollout.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.tinylog.Logger;

/**
 * Asks reachable supervisors about hosts that are silent to this controller, in one thread. What
 * they answer goes to {@link RolloutExecution}. No lock is held during a call.
 */
final class IndirectProber implements Runnable {
  private static final int WITNESSES_PER_HOST = 2;
  private static final long PROBE_INTERVAL_SECONDS = 1;

  private final PlanScript script;
  private final RolloutExecution execution;
  private final SupervisorClient supervisors;
  private final BooleanSupplier isStopped;

  IndirectProber(
      PlanScript script,
      RolloutExecution execution,
      SupervisorClient supervisors,
      BooleanSupplier isStopped) {
    this.script = script;
    this.execution = execution;
    this.supervisors = supervisors;
    this.isStopped = isStopped;
  }

  @Override
  public void run() {
    while (!isStopped.getAsBoolean()) {
      double now = MonotonicClock.seconds();
      List<String> witnesses = execution.witnesses(now);
      for (String host : execution.silentHosts(now)) {
        for (String witness : chooseWitnesses(host, witnesses)) {
          probe(host, witness);
        }
      }
      try {
        TimeUnit.SECONDS.sleep(PROBE_INTERVAL_SECONDS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** The same witnesses for a host as long as nobody comes or goes, spread over the hosts. */
  static List<String> chooseWitnesses(String host, List<String> witnesses) {
    int count = witnesses.size();
    // The remainder comes first: the absolute value of Integer.MIN_VALUE is negative.
    int first = count == 0 ? 0 : Math.abs(host.hashCode() % count);
    return IntStream.range(0, Math.min(WITNESSES_PER_HOST, count))
        .mapToObj(i -> witnesses.get((first + i) % count))
        .toList();
  }

  private void probe(String host, String witness) {
    try {
      JsonNode answer =
          supervisors.indirectProbe(
              script.plan().host(witness).supervisor(),
              script.plan().host(host).supervisor(),
              script.clientAddresses().getOrDefault(host, ""));
      execution.onIndirectProbe(
          host,
          witness,
          answer.path("heard").asBoolean(),
          answer.path("callers").asBoolean(),
          MonotonicClock.seconds());
    } catch (IOException unreachable) {
      Logger.debug(
          "indirect probe without an answer: host={} witness={} reason={}",
          host,
          witness,
          unreachable.getMessage());
    }
  }
}
