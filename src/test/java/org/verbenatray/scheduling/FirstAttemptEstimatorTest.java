package org.verbenatray.scheduling;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Tests for {@link FirstAttemptEstimator}. */
public final class FirstAttemptEstimatorTest {
    @Test
    public void aSlightlyShorterTimeoutIsTakenForAFirstAttempt() {
        FirstAttemptEstimator estimator = FirstAttemptEstimator.create();
        estimator.recordAndEstimateMillis("r", 8_000);
        Assert.assertEquals(estimator.recordAndEstimateMillis("r", 6_900), 0.0);
    }

    @Test
    public void aMuchShorterTimeoutIsTakenForARetry() {
        FirstAttemptEstimator estimator = FirstAttemptEstimator.create();
        estimator.recordAndEstimateMillis("r", 8_000);
        Assert.assertTrue(estimator.recordAndEstimateMillis("r", 5_000) > 1_500);
    }

    @Test
    public void routesAreEstimatedSeparately() {
        FirstAttemptEstimator estimator = FirstAttemptEstimator.create();
        estimator.recordAndEstimateMillis("long", 8_000);
        Assert.assertEquals(estimator.recordAndEstimateMillis("short", 2_000), 0.0);
    }
}
