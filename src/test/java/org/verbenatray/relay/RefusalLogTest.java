package org.verbenatray.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.telemetry.Event;

/** The bound on the log lines of refused requests. */
public final class RefusalLogTest {
    private List<String> lines;

    private List<Runnable> scheduled;

    private long now;

    private RefusalLog log;

    @BeforeMethod
    public void start() {
        now = 0;
        lines = new ArrayList<>();
        scheduled = new ArrayList<>();
        log = RefusalLog.create(line -> lines.add(line.toString()), () -> now, (when, task) -> scheduled.add(task));
    }

    /** Guards against 9,900 lines in 8 s from 12 callers that come back at once after each refusal. */
    @Test
    public void linesBeyondAHundredASecondAreCountedOnly() {
        refuse(250);
        Assert.assertEquals(lines.size(), 100);
        scheduled.forEach(Runnable::run);
        Assert.assertEquals(lines.size(), 101);
        Assert.assertEquals(lines.get(100), "event=refused_omitted count=150");
    }

    @Test
    public void theNextSecondHasLinesAgain() {
        refuse(100);
        now = TimeUnit.SECONDS.toNanos(1);
        refuse(3);
        Assert.assertEquals(lines.size(), 103);
        Assert.assertTrue(scheduled.isEmpty());
    }

    @Test
    public void aCountIsToldOnceWhetherTheTimerOrTheNextRefusalComesFirst() {
        refuse(101);
        now = TimeUnit.SECONDS.toNanos(1);
        refuse(1);
        scheduled.forEach(Runnable::run);
        Assert.assertEquals(lines.size(), 102);
        Assert.assertEquals(lines.get(100), "event=refused_omitted count=1");
    }

    private void refuse(int count) {
        for (int number = 0; number < count; number++) {
            log.record(() -> Event.named("refused"));
        }
    }
}
