package org.verbenatray.relay;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.testng.Assert;
import org.testng.annotations.Test;

/** The longest recent durations of the requests of a route. */
public final class RecentDurationsTest {
    private final RecentDurations durations = RecentDurations.create();

    @Test
    public void nothingIsKnownOfARouteWithoutRequests() {
        durations.record("other", 100, seconds(0));
        Assert.assertEquals(durations.longestMillis("route", seconds(0)), OptionalLong.empty());
    }

    @Test
    public void theLongestDurationCountsWhateverCameAfterIt() {
        durations.record("longest", 700, seconds(0));
        durations.record("longest", 20, seconds(1));
        Assert.assertEquals(durations.longestMillis("longest", seconds(1)), OptionalLong.of(700));
    }

    @Test
    public void aDurationCountsForTenSecondsAtLeastAndTwentyAtMost() {
        durations.record("ages", 700, seconds(0));
        durations.record("ages", 20, seconds(11));
        Assert.assertEquals(durations.longestMillis("ages", seconds(11)), OptionalLong.of(700));
        durations.record("ages", 30, seconds(22));
        Assert.assertEquals(durations.longestMillis("ages", seconds(22)), OptionalLong.of(30));
    }

    @Test
    public void aRouteThatHasBeenQuietIsUnknownAgain() {
        durations.record("quiet", 700, seconds(0));
        Assert.assertEquals(durations.longestMillis("quiet", seconds(15)), OptionalLong.of(700));
        Assert.assertEquals(durations.longestMillis("quiet", seconds(21)), OptionalLong.empty());
    }

    private static long seconds(long count) {
        return TimeUnit.SECONDS.toNanos(count);
    }
}
