package org.verbenatray.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of {@link OutputEstimator}. */
public final class OutputEstimatorTest {
    @Test
    public void theEstimateFollowsAShiftOfTheLengthsAndKeepsToTheCallersBound() {
        OutputEstimator estimator = OutputEstimator.create(16);
        for (int answer = 1; answer <= 1_000; answer++) {
            estimator.onAnswer("a", "m", answer);
        }
        int late = estimator.estimate("a", "m", 10_000, 0.5);
        assertTrue(late >= 900 && late <= 1_200, late + " of recent answers around 965");
        for (int answer = 0; answer < 150; answer++) {
            estimator.onAnswer("a", "m", 40);
        }
        int shifted = estimator.estimate("a", "m", 10_000, 0.9);
        assertTrue(shifted >= 40 && shifted <= 48, shifted + " after answers of 40");
        assertEquals(estimator.estimate("a", "m", 10, 0.9), 10);
    }

    @Test
    public void aNewCustomerIsExpectedToBehaveLikeTheOthersOfTheModel() {
        OutputEstimator estimator = OutputEstimator.create(16);
        assertEquals(estimator.estimate("b", "m", 10_000, 0.9), 256);
        for (int answer = 0; answer < 20; answer++) {
            estimator.onAnswer("a", "m", 1_000);
        }
        int expected = estimator.estimate("b", "m", 10_000, 0.9);
        assertTrue(expected >= 1_000 && expected <= 1_200, expected + " of 1,000");
    }
}
