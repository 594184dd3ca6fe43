package org.verbenatray.resilience;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.time.ManualTime;

/** The budget of retries. */
public final class RetryBudgetTest {
    @Test
    public void aChangedRatioHoldsForWhatWasCountedBefore() {
        RetryBudget budget = RetryBudget.create(new ManualTime(), 0, 10_000);
        for (int request = 0; request < 10; request++) {
            budget.earn();
        }
        Assert.assertFalse(budget.spend());
        budget.allow(0.1, 10_000);
        Assert.assertTrue(budget.spend());
        Assert.assertFalse(budget.spend());
    }

    @Test
    public void aFifthOfTheRequestsOfTheWindowMayBeRetried() {
        RetryBudget budget = RetryBudget.create(new ManualTime(), 0.2, 10_000);
        for (int request = 0; request < 10; request++) {
            budget.earn();
        }
        Assert.assertTrue(budget.spend());
        Assert.assertTrue(budget.spend());
        Assert.assertFalse(budget.spend());
    }

    @Test
    public void withoutRequestsNothingMayBeRetried() {
        Assert.assertFalse(RetryBudget.create(new ManualTime(), 0.2, 10_000).spend());
    }

    @Test
    public void requestsAndRetriesLeaveTheWindow() {
        ManualTime time = new ManualTime();
        RetryBudget budget = RetryBudget.create(time, 1, 10_000);
        budget.earn();
        Assert.assertTrue(budget.spend());
        time.advanceMillis(6_000);
        budget.earn();
        time.advanceMillis(6_000);
        Assert.assertEquals(budget.left(), 1.0);
        time.advanceMillis(6_000);
        Assert.assertFalse(budget.spend());
    }
}
