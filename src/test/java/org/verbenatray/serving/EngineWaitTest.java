package org.verbenatray.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;
import org.verbenatray.time.Deadline;

/** Tests for {@link EngineWait}. */
public final class EngineWaitTest {
    private static final long FIXED_END_NANOS = 5_000_000_000L;
    private static final long MUCH_LATER_NANOS = 40_000_000_000L;
    private final EngineWait wait = new EngineWait();

    @Test
    public void aResponseThatHasBegunWaitsWhileAnEngineIsDueBack() {
        wait.end();
        wait.nextAttempt(true, () -> true, 0);
        for (long nanos : new long[] {FIXED_END_NANOS, MUCH_LATER_NANOS}) {
            Optional<Deadline> next = wait.nextAttempt(true, () -> true, nanos);
            assertTrue(next.isPresent() && next.get().atNanos() > nanos);
        }
        assertEquals(wait.nextAttempt(true, () -> false, MUCH_LATER_NANOS), Optional.empty());
    }

    @Test
    public void aRequestThatHasNotBegunWaitsForAFixedTime() {
        wait.end();
        assertTrue(wait.nextAttempt(false, () -> true, 0).isPresent());
        assertTrue(wait.nextAttempt(false, () -> false, FIXED_END_NANOS - 1).isPresent());
        assertEquals(wait.nextAttempt(false, () -> true, FIXED_END_NANOS), Optional.empty());
    }

    @Test
    public void eachWaitHasItsOwnFixedTime() {
        wait.end();
        wait.nextAttempt(false, () -> false, 0);
        wait.end();
        assertTrue(wait.nextAttempt(false, () -> false, FIXED_END_NANOS).isPresent());
    }
}
