package org.verbenatray.resilience;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.time.ManualTime;

/** Tests for {@link RetryBudget}. */
public final class RetryBudgetTest {
    @Test
    public void aChangedRatioAppliesToRequestsCountedBefore() {
        RetryBudget budget = RetryBudget.create(new ManualTime(), 0, 10_000);
        for (int request = 0; request < 10; request++) {
            budget.recordRequest();
        }
        Assert.assertFalse(budget.trySpend());
        budget.configure(0.1, 10_000);
        Assert.assertTrue(budget.trySpend());
        Assert.assertFalse(budget.trySpend());
    }

    @Test
    public void aFifthOfTheRequestsOfTheWindowMayBeRetried() {
        RetryBudget budget = RetryBudget.create(new ManualTime(), 0.2, 10_000);
        for (int request = 0; request < 10; request++) {
            budget.recordRequest();
        }
        Assert.assertTrue(budget.trySpend());
        Assert.assertTrue(budget.trySpend());
        Assert.assertFalse(budget.trySpend());
    }

    @Test
    public void withoutRequestsNothingMayBeRetried() {
        Assert.assertFalse(RetryBudget.create(new ManualTime(), 0.2, 10_000).trySpend());
    }

    @Test
    public void requestsAndRetriesExpireWithTheWindow() {
        ManualTime time = new ManualTime();
        RetryBudget budget = RetryBudget.create(time, 1, 10_000);
        budget.recordRequest();
        Assert.assertTrue(budget.trySpend());
        time.advanceMillis(6_000);
        budget.recordRequest();
        time.advanceMillis(6_000);
        Assert.assertEquals(budget.remaining(), 1.0);
        time.advanceMillis(6_000);
        Assert.assertFalse(budget.trySpend());
    }

    @Test
    public void anAllowanceIsSpentWithoutRequestsAndComesBackAfterTheWindowAndTheSpreadOfArrivals() {
        ManualTime time = new ManualTime();
        RetryBudget budget = RetryBudget.create(time, 0.2, 10_000, () -> 1.5);
        Assert.assertTrue(budget.trySpend());
        Assert.assertFalse(budget.trySpend());
        time.advanceMillis(11_000);
        Assert.assertFalse(budget.trySpend());
        time.advanceMillis(1_001);
        Assert.assertTrue(budget.trySpend());
    }

    @Test
    public void anAllowanceAddsToTheEarnedRetries() {
        RetryBudget budget = RetryBudget.create(new ManualTime(), 0.2, 10_000, () -> 0.5);
        budget.recordRequest();
        budget.recordRequest();
        Assert.assertFalse(budget.trySpend());
        budget.recordRequest();
        Assert.assertTrue(budget.trySpend());
        Assert.assertFalse(budget.trySpend());
    }
}
