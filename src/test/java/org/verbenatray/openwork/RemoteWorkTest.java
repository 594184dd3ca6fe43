package org.verbenatray.openwork;

import java.util.List;
import java.util.Map;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.time.ManualTime;

/** Tests the sum of the work that other instances report, its order and its expiry. */
public final class RemoteWorkTest {
    private ManualTime time;

    private RemoteWork remoteWork;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        remoteWork = RemoteWork.create(time, () -> 1);
    }

    @Test
    public void theWorkOfAllOtherInstancesIsAdded() {
        remoteWork.apply(notice("a", 1, 0, new EngineWork(100, 10, 2)));
        remoteWork.apply(notice("b", 1, 0, new EngineWork(50, 5, 1)));
        Assert.assertEquals(remoteWork.workAt("e1"), new EngineWork(150, 15, 3));
        Assert.assertEquals(remoteWork.workAt("e2"), EngineWork.NONE);
    }

    @Test
    public void aNoticeThatArrivesAfterANewerOneIsIgnored() {
        remoteWork.apply(notice("a", 1, 5, new EngineWork(100, 0, 1)));
        remoteWork.apply(notice("a", 1, 4, new EngineWork(900, 0, 9)));
        Assert.assertEquals(remoteWork.workAt("e1").openRequests(), 1);
    }

    @Test
    public void aRestartedInstanceReplacesItsWorkAndNoticesOfTheOldProcessAreIgnored() {
        remoteWork.apply(notice("a", 1, 5, new EngineWork(100, 0, 4)));
        remoteWork.apply(notice("a", 2, 0, new EngineWork(10, 0, 1)));
        remoteWork.apply(notice("a", 1, 6, new EngineWork(100, 0, 4)));
        Assert.assertEquals(remoteWork.workAt("e1").openRequests(), 1);
    }

    @Test
    public void unconfirmedWorkExpiresAfterOneSecond() {
        remoteWork.apply(notice("a", 1, 0, new EngineWork(100, 0, 1)));
        time.advanceMillis(999);
        Assert.assertEquals(remoteWork.workAt("e1").openRequests(), 1);
        time.advanceMillis(1);
        Assert.assertEquals(remoteWork.workAt("e1"), EngineWork.NONE);
    }

    @Test
    public void theWorkOfASampleIsScaledToTheFleet() {
        RemoteWork sample = RemoteWork.create(time, () -> 2.5);
        sample.apply(notice("a", 1, 0, new EngineWork(100, 10, 2)));
        Assert.assertEquals(sample.workAt("e1"), new EngineWork(250, 25, 5));
    }

    private static WorkNotice notice(String instance, long incarnation, long sequence, EngineWork work) {
        return new WorkNotice(instance, incarnation, sequence, Map.of("e1", work), Map.of(), List.of(), List.of());
    }
}
