package wharftrestle.rollout.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.tinylog.Logger;

/**
 * Has reachable supervisors probe the hosts that do not answer this controller, and passes the
 * results to {@link RolloutExecution}. Runs in one thread and holds no lock during a call.
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

  /**
   * Chooses the witnesses for a host: the same ones while the list is unchanged, and different ones
   * for different hosts, to spread the probes.
   */
  static List<String> chooseWitnesses(String host, List<String> witnesses) {
    int count = witnesses.size();
    // The remainder is taken before abs, because abs(Integer.MIN_VALUE) is negative.
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
          "indirect probe was not answered: host={} witness={} reason={}",
          host,
          witness,
          unreachable.getMessage());
    }
  }
}
