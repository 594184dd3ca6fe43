package org.verbenatray.relay;

import java.util.stream.IntStream;
import org.testng.Assert;
import org.testng.annotations.Test;

/** The share of large prompts that are taken up in turn. */
public final class SizeSharesTest {
    @Test
    public void largePromptsThatCannotBeOnTimeKeepAShareOfTheTurnsOfOthers() {
        Assert.assertEquals(taken(1.0), 0.4, 0.05);
        Assert.assertEquals(taken(0.5), 0.2, 0.05);
    }

    @Test
    public void aLargePromptThatCanBeOnTimeIsTakenUpInTurn() {
        SizeShares shares = SizeShares.unseen();
        Assert.assertTrue(shares.takesLarge(true));
        Assert.assertFalse(shares.takesLarge(false));
    }

    /** Returns the share of large prompts in turn while the given share of the others is. */
    private static double taken(double othersInTurn) {
        SizeShares shares = SizeShares.unseen();
        int[] turn = {0};
        long large = IntStream.range(0, 4_000)
                .filter(number -> {
                    turn[0]++;
                    shares.other((turn[0] * othersInTurn) % 1 < othersInTurn - 1e-9 || othersInTurn == 1);
                    return shares.takesLarge(false) && number >= 1_000;
                })
                .count();
        return large / 3_000.0;
    }
}
