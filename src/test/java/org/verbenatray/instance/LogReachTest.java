package org.verbenatray.instance;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of {@link LogReach}. */
public final class LogReachTest {
    private final LogReach reach = LogReach.startingAt(0);

    @Test
    public void nothingIsToldBeforeTheFirstReadHadItsTimeAndThenEachChangeOnce() {
        assertEquals(changed(true, false, 0), Optional.empty());
        assertEquals(changed(true, false, 2), Optional.empty());
        assertEquals(changed(true, false, 4), Optional.of(true));
        assertEquals(changed(true, false, 5), Optional.empty());
        assertEquals(changed(false, true, 6), Optional.of(false));
        assertEquals(changed(false, true, 7), Optional.empty());
        assertEquals(changed(true, true, 8), Optional.of(true));
    }

    private Optional<Boolean> changed(boolean outOfReach, boolean everRead, long seconds) {
        return reach.changed(outOfReach, everRead, TimeUnit.SECONDS.toNanos(seconds));
    }
}
