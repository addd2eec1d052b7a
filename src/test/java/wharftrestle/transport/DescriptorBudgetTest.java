package wharftrestle.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * The parts of the budget together stay within the descriptor limit of the process, and front ends
 * have the half that the protocol grants them.
 */
class DescriptorBudgetTest {
  @Property
  void budgetStaysWithinTheDescriptorLimit(@ForAll @IntRange(min = 64, max = 4096) int allowed) {
    DescriptorBudget budget = DescriptorBudget.of(allowed);
    int closing = budget.leaving() * 3 / 2 + DescriptorBudget.MAX_OPERATORS_CLOSING * 3 / 2;
    int total =
        DescriptorBudget.RESERVED
            + budget.callers()
            + closing
            + budget.calls()
            + budget.operators();
    assertTrue(total <= allowed, total + " of " + allowed);
    assertTrue(allowed < 128 || budget.callers() >= allowed / 2, budget + " of " + allowed);
    assertTrue(
        budget.callers() >= 16 && budget.calls() >= 8 && budget.operators() >= 4,
        budget.toString());
  }
}
