package wharftrestle.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import wharftrestle.admission.AdmissionController;
import wharftrestle.simulator.SimulatorAdapter;

/** Runs the daemon's admission code behind the simulator's protocol. */
@Command(
    name = "adapter",
    description = "run the admission code for the simulator, on standard input and output")
public final class AdapterCommand implements Callable<Integer> {
  @Override
  public Integer call() throws IOException {
    new SimulatorAdapter(AdmissionController::new).serve(System.in, System.out);
    return 0;
  }
}
