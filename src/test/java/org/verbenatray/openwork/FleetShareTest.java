package org.verbenatray.openwork;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.time.ManualTime;

/** Tests of {@link FleetShare} at one instance. */
public final class FleetShareTest {
    private static final long WINDOW_MILLIS = 10_000;

    /** The time after a change from which the share holds again. */
    private static final long SETTLE_MILLIS = 24_000 + WINDOW_MILLIS;

    private ManualTime time;
    private FleetShare share;

    @BeforeMethod
    public void create() {
        time = new ManualTime();
        share = FleetShare.create(time);
    }

    @Test
    public void anInstanceThatHasReadNoListHasNoShare() {
        Assert.assertEquals(share.of(WINDOW_MILLIS), 0.0);
    }

    @Test
    public void theShareBeginsOnceAllOthersKnowOfTheInstanceAndAWindowHasPassed() {
        share.recordListed(4);
        readFor(SETTLE_MILLIS - 1_000);
        Assert.assertEquals(share.of(WINDOW_MILLIS), 0.0);
        readFor(2_000);
        Assert.assertEquals(share.of(WINDOW_MILLIS), 0.25);
    }

    @Test
    public void anInstanceThatIsNotListedItselfHasNoShare() {
        settle(4);
        share.recordListed(0);
        readFor(1_000);
        Assert.assertEquals(share.of(WINDOW_MILLIS), 0.0);
    }

    @Test
    public void aFleetThatGrowsHasNoSharesUntilItHasSettled() {
        settle(4);
        share.recordListed(5);
        readFor(SETTLE_MILLIS - 1_000);
        Assert.assertEquals(share.of(WINDOW_MILLIS), 0.0);
        readFor(2_000);
        Assert.assertEquals(share.of(WINDOW_MILLIS), 0.2);
    }

    @Test
    public void aFleetThatShrinksKeepsItsSmallerSharesUntilItHasSettled() {
        settle(4);
        share.recordListed(2);
        readFor(SETTLE_MILLIS - 1_000);
        Assert.assertEquals(share.of(WINDOW_MILLIS), 0.25);
        readFor(2_000);
        Assert.assertEquals(share.of(WINDOW_MILLIS), 0.5);
    }

    @Test
    public void anInstanceWhoseListIsOutOfDateHasNoShareAndSettlesAgainAfterwards() {
        settle(4);
        time.advanceMillis(12_001);
        Assert.assertEquals(share.of(WINDOW_MILLIS), 0.0);
        readFor(SETTLE_MILLIS - 1_000);
        Assert.assertEquals(share.of(WINDOW_MILLIS), 0.0);
        readFor(2_000);
        Assert.assertEquals(share.of(WINDOW_MILLIS), 0.25);
    }

    private void settle(int instances) {
        share.recordListed(instances);
        readFor(SETTLE_MILLIS + 1_000);
        Assert.assertEquals(share.of(WINDOW_MILLIS), 1.0 / instances);
    }

    /** Reads the list each second for the given time. */
    private void readFor(long millis) {
        for (long passed = 0; passed < millis; passed += 1_000) {
            share.recordRead();
            time.advanceMillis(1_000);
        }
        share.recordRead();
    }
}
