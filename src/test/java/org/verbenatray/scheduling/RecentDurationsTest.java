package org.verbenatray.scheduling;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** How long a request is expected to take by the recent ones of its route. */
public final class RecentDurationsTest {
    private RecentDurations durations;

    @BeforeMethod
    public void start() {
        durations = RecentDurations.create();
    }

    @Test
    public void nothingIsKnownOfARouteWithoutRequests() {
        durations.record("other", 100, seconds(0));
        Assert.assertEquals(expected(seconds(0)), OptionalLong.empty());
    }

    @Test
    public void oneInTenTakesLongerThanExpected() {
        for (long millis = 10; millis <= 100; millis += 10) {
            durations.record("route", millis, seconds(0));
        }
        Assert.assertEquals(expected(seconds(1)), OptionalLong.of(90));
    }

    /** Guards against requests that are sent late because those before servers became slow were short. */
    @Test
    public void openRequestsThatTakeLongCountBeforeTheyEnd() {
        for (int number = 0; number < 50; number++) {
            durations.record("route", 20, seconds(0));
        }
        LongStream open = LongStream.iterate(5_000, millis -> millis - 10).limit(10);
        Assert.assertEquals(durations.expectedMillis("route", open, seconds(5)), OptionalLong.of(4_940));
    }

    @Test
    public void theNewestHundredRequestsCount() {
        durations.record("route", 700, seconds(0));
        for (int number = 0; number < 100; number++) {
            durations.record("route", 20, seconds(0));
        }
        Assert.assertEquals(expected(seconds(1)), OptionalLong.of(20));
    }

    @Test
    public void aRouteThatHasBeenQuietForTwentySecondsIsUnknownAgain() {
        durations.record("route", 700, seconds(0));
        Assert.assertEquals(expected(seconds(19)), OptionalLong.of(700));
        Assert.assertEquals(expected(seconds(20)), OptionalLong.empty());
    }

    private OptionalLong expected(long nowNanos) {
        return durations.expectedMillis("route", LongStream.empty(), nowNanos);
    }

    private static long seconds(long count) {
        return TimeUnit.SECONDS.toNanos(count);
    }
}
