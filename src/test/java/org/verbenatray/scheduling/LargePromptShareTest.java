package org.verbenatray.scheduling;

import java.util.stream.IntStream;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Tests for {@link LargePromptShare}. */
public final class LargePromptShareTest {
    @Test
    public void lateLargePromptsKeepAShareOfRegularSchedulingRelativeToOtherPrompts() {
        Assert.assertEquals(regularShare(1.0), 0.4, 0.05);
        Assert.assertEquals(regularShare(0.5), 0.2, 0.05);
    }

    @Test
    public void aLargePromptExpectedOnTimeIsScheduledRegularly() {
        LargePromptShare shares = LargePromptShare.create();
        Assert.assertTrue(shares.admitLarge(true));
        Assert.assertFalse(shares.admitLarge(false));
    }

    /** Returns the share of large prompts scheduled regularly while the given share of the others is. */
    private static double regularShare(double othersRegular) {
        LargePromptShare shares = LargePromptShare.create();
        int[] count = {0};
        long large = IntStream.range(0, 4_000)
                .filter(number -> {
                    count[0]++;
                    shares.recordOther((count[0] * othersRegular) % 1 < othersRegular - 1e-9 || othersRegular == 1);
                    return shares.admitLarge(false) && number >= 1_000;
                })
                .count();
        return large / 3_000.0;
    }
}
