package wharftrestle.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * All parts together stay within what a process is allowed, and front ends have the half that the
 * protocol gives them.
 */
class DescriptorBudgetTest {
  @Property
  void thePartsFitTheWhole(@ForAll @IntRange(min = 64, max = 4096) int allowed) {
    DescriptorBudget parts = DescriptorBudget.of(allowed);
    int leaving = parts.leaving() * 3 / 2 + DescriptorBudget.OPERATORS_LEAVING * 3 / 2;
    int all = DescriptorBudget.OWN + parts.callers() + leaving + parts.calls() + parts.operators();
    assertTrue(all <= allowed, all + " of " + allowed);
    assertTrue(allowed < 128 || parts.callers() >= allowed / 2, parts + " of " + allowed);
    assertTrue(
        parts.callers() >= 16 && parts.calls() >= 8 && parts.operators() >= 4, parts.toString());
  }
}
