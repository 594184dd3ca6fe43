package org.verbenatray.relay;

import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.catalog.CallerLimits;
import org.verbenatray.time.ManualTime;

/** Tests of {@link CallerPace} with the limits of {@link CallerPatience}, checked each 250 ms. */
public final class CallerPaceTest {
    private static final long CHECK_INTERVAL_MILLIS = 250;

    /** The longest time after a limit at which a connection is closed, in milliseconds. */
    private static final long CLOSED_WITHIN_MILLIS = 2_000;

    private ManualTime time;
    private CallerPatience patience;
    private CallerPace pace;

    @BeforeMethod
    public void connect() {
        time = new ManualTime();
        patience = CallerPatience.create();
        apply(3_000, 15_000);
        pace = CallerPace.connectedAt(patience, time.nanos());
    }

    @Test
    public void anIdleConnectionLivesForTheLimitAndEndsAfterIt() {
        assertClosedAfter(15_000);
    }

    @Test
    public void aHeadHasTheTimeOfItsLimitFromItsFirstByteOn() {
        time.advanceMillis(10_000);
        pace.bytesRead(time.nanos());
        assertOpenFor(2_000);
        pace.bytesRead(time.nanos());
        assertClosedAfter(1_000);
    }

    @Test
    public void aBodyMayPauseForTheIdleLimitAfterEachOfItsBytes() {
        pace.bytesRead(time.nanos());
        pace.headRead(time.nanos(), () -> false);
        for (int part = 0; part < 5; part++) {
            assertOpenFor(14_000);
            pace.bytesRead(time.nanos());
        }
        assertClosedAfter(15_000);
    }

    @Test
    public void aRequestThatWasReadWholeHasNoLimitAndTheIdleTimeBeginsAfterItsResponse() {
        AtomicBoolean whole = new AtomicBoolean();
        pace.bytesRead(time.nanos());
        pace.headRead(time.nanos(), whole::get);
        assertOpenFor(14_000);
        whole.set(true);
        assertOpenFor(200_000);
        pace.responseEnded(time.nanos());
        assertClosedAfter(15_000);
    }

    @Test
    public void aLimitThatRisesWhileTheConnectionIsIdleHolds() {
        assertOpenFor(14_000);
        apply(3_000, 90_000);
        assertClosedAfter(90_000 - 14_000);
    }

    @Test
    public void aConnectionThatBecameIdleUnderALongerLimitKeepsIt() {
        apply(3_000, 90_000);
        assertOpenFor(5_000);
        apply(3_000, 1_000);
        assertClosedAfter(85_000);
    }

    @Test
    public void aConnectionThatBecomesIdleShortlyAfterTheLimitFellKeepsTheLongerOne() {
        apply(3_000, 1_000);
        time.advanceMillis(5_000);
        pace = CallerPace.connectedAt(patience, time.nanos());
        assertClosedAfter(15_000);
    }

    @Test
    public void aConnectionThatBecomesIdleLongAfterTheLimitFellGoesByTheNewOne() {
        apply(3_000, 1_000);
        time.advanceMillis(10_001);
        pace = CallerPace.connectedAt(patience, time.nanos());
        assertClosedAfter(1_000);
    }

    @Test
    public void aLongerLimitOfSeveralVersionsInQuickSuccessionIsKept() {
        apply(3_000, 1_000);
        apply(3_000, 40_000);
        apply(3_000, 2_000);
        assertClosedAfter(40_000);
    }

    @Test
    public void bytesThatArrivedDuringAPauseOfTheProcessCountAsInTime() {
        time.advanceMillis(60_000);
        Assert.assertFalse(pace.isOverdue(time.nanos()), "the bytes are read after the first check");
        pace.bytesRead(time.nanos());
        assertOpenFor(3_000);
    }

    private void apply(long headMillis, long idleMillis) {
        patience.apply(new CallerLimits(1, 1, headMillis, idleMillis), time.nanos());
    }

    private void assertOpenFor(long millis) {
        for (long passed = 0; passed < millis; passed += CHECK_INTERVAL_MILLIS) {
            time.advanceMillis(CHECK_INTERVAL_MILLIS);
            Assert.assertFalse(pace.isOverdue(time.nanos()), "closed after " + passed + " ms");
        }
    }

    private void assertClosedAfter(long millis) {
        assertOpenFor(millis);
        for (long passed = 0; passed < CLOSED_WITHIN_MILLIS; passed += CHECK_INTERVAL_MILLIS) {
            time.advanceMillis(CHECK_INTERVAL_MILLIS);
            if (pace.isOverdue(time.nanos())) {
                return;
            }
        }
        Assert.fail("still open " + CLOSED_WITHIN_MILLIS + " ms after the limit");
    }
}
