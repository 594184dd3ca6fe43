package org.verbenatray.openwork;

import java.util.List;
import java.util.Map;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.time.ManualTime;

/** What other instances tell of their open work. */
public final class SharedWorkTest {
    private ManualTime time;

    private SharedWork shared;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        shared = SharedWork.create(time, () -> 1);
    }

    @Test
    public void theWorkOfAllOthersIsAddedUp() {
        shared.take(notice("a", 1, 0, new EngineWork(100, 10, 2)));
        shared.take(notice("b", 1, 0, new EngineWork(50, 5, 1)));
        Assert.assertEquals(shared.others("e1"), new EngineWork(150, 15, 3));
        Assert.assertEquals(shared.others("e2"), EngineWork.NONE);
    }

    @Test
    public void aNoticeThatWasOvertakenChangesNothing() {
        shared.take(notice("a", 1, 5, new EngineWork(100, 0, 1)));
        shared.take(notice("a", 1, 4, new EngineWork(900, 0, 9)));
        Assert.assertEquals(shared.others("e1").runs(), 1);
    }

    @Test
    public void aRestartedInstanceBeginsAnewAndItsFormerLifeIsNotHeard() {
        shared.take(notice("a", 1, 5, new EngineWork(100, 0, 4)));
        shared.take(notice("a", 2, 0, new EngineWork(10, 0, 1)));
        shared.take(notice("a", 1, 6, new EngineWork(100, 0, 4)));
        Assert.assertEquals(shared.others("e1").runs(), 1);
    }

    @Test
    public void workThatIsNotConfirmedCountsNoMoreAfterASecond() {
        shared.take(notice("a", 1, 0, new EngineWork(100, 0, 1)));
        time.advanceMillis(999);
        Assert.assertEquals(shared.others("e1").runs(), 1);
        time.advanceMillis(1);
        Assert.assertEquals(shared.others("e1"), EngineWork.NONE);
    }

    @Test
    public void aSampleOfAFleetStandsForTheWhole() {
        SharedWork sample = SharedWork.create(time, () -> 2.5);
        sample.take(notice("a", 1, 0, new EngineWork(100, 10, 2)));
        Assert.assertEquals(sample.others("e1"), new EngineWork(250, 25, 5));
    }

    private static WorkNotice notice(String instance, long start, long sequence, EngineWork work) {
        return new WorkNotice(instance, start, sequence, Map.of("e1", work), List.of());
    }
}
