package org.verbenatray.platform;

import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Courses of drawn requests; each request that was read whole must end exactly once. The system properties {@code
 * courses.first} and {@code courses.count} choose other seeds.
 */
public final class RandomCoursesTest {
    private static final long FIRST_SEED = Long.getLong("courses.first", 1);

    private static final int SEEDS = Integer.getInteger("courses.count", 2);

    @Test
    public void everyRequestThatWasReadWholeEndsExactlyOnceAndItsCallerIsTold() throws Exception {
        List<String> violations = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            violations.addAll(new RandomCourse(seed).play());
        }
        Assert.assertTrue(violations.isEmpty(), violations.toString());
    }
}
