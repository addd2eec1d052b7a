package wharftrestle.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import org.junit.jupiter.api.Test;

/** Guards against memory that grows with the caller numbers, which any caller chooses. */
class IdleConnectionControlTest {
  private static final int CALLERS = 100_000;

  @Test
  void everNewCallers_areNotRememberedWithoutBound() {
    Admission.Actions ignoring =
        (Admission.Actions)
            Proxy.newProxyInstance(
                Admission.Actions.class.getClassLoader(),
                new Class<?>[] {Admission.Actions.class},
                (proxy, method, arguments) -> null);
    IdleConnectionControl control = new IdleConnectionControl(ignoring, new ArrivalStatistics());
    for (int caller = 0; caller < CALLERS; caller++) {
      control.recordArrival(
          1, new Admission.Request(caller, false, 0, 0, 0, 1, caller, 0, null, 0, 0, 0.5));
    }
    assertTrue(
        control.rememberedCallers() <= 2048, control.rememberedCallers() + " callers remembered");
  }
}
