package org.verbenatray.instance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link LoopWatchdog}. */
public final class LoopWatchdogTest {
    private Deque<Runnable> tasks;
    private List<String> reasons;
    private LoopWatchdog watchdog;

    @BeforeMethod
    public void setUp() {
        tasks = new ArrayDeque<>();
        reasons = new ArrayList<>();
        watchdog = new LoopWatchdog(tasks::add, reasons::add);
    }

    @Test
    public void aLoopThatRunsNoTaskIsGivenUpOnce() {
        for (int look = 0; look <= 2 * LoopWatchdog.LOOKS_TO_GIVE_UP; look++) {
            watchdog.look();
        }
        Assert.assertEquals(reasons.size(), 1);
    }

    @Test
    public void aLoopThatIsSlowButRunsItsTasksIsNotGivenUp() {
        for (int look = 0; look < 10 * LoopWatchdog.LOOKS_TO_GIVE_UP; look++) {
            watchdog.look();
            if (look % (LoopWatchdog.LOOKS_TO_GIVE_UP - 1) == 0 && !tasks.isEmpty()) {
                tasks.poll().run();
            }
        }
        Assert.assertEquals(reasons, List.of());
    }
}
