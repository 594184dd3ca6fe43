package org.verbenatray.capacity;

import java.util.Optional;
import java.util.OptionalInt;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.time.ManualTime;

/** The needed number of servers while they start, are replaced and are taken away. */
public final class NeededServersTest {
    private ManualTime time;

    private NeededServers needed;

    @BeforeMethod
    public void reset() {
        time = new ManualTime();
        needed = NeededServers.unknown();
    }

    /** The first holder ordered as many servers as it had seen of those that were still being listed. */
    @Test
    public void theNumberIsUnknownUntilTheListHasSettled() {
        for (int listed = 1; listed <= 50; listed++) {
            record(listed, 0, 100);
            Assert.assertEquals(needed.value(), OptionalInt.empty());
        }
        record(50, 0, 4_100);
        record(50, 0, 200);
        Assert.assertEquals(needed.value(), OptionalInt.of(50));
    }

    @Test
    public void theNumberStaysWhileServersAreReplacedAndReclaimed() {
        record(50, 0, 0);
        record(50, 0, 5_000);
        record(50, 51, 4_000);
        record(6, 51, 20_000);
        record(6, 34, 10_000);
        record(6, 51, 30_000);
        Assert.assertEquals(needed.value(), OptionalInt.of(51));
    }

    @Test
    public void aNewHolderThatSeesOnlyWhatIsLeftGoesByWhatWasStated() {
        needed.recordStated(51, time.nanos());
        record(6, 17, 5_000);
        Assert.assertEquals(needed.value(), OptionalInt.of(51));
    }

    @Test
    public void aStatedNeedIsReadAsItWasWritten() {
        ServerNeed need = new ServerNeed("a service", 51);
        Assert.assertEquals(ServerNeed.parse(need.text()), Optional.of(need));
        Assert.assertEquals(ServerNeed.parse("usage 1 a=1"), Optional.empty());
        Assert.assertEquals(ServerNeed.parse("servers a x"), Optional.empty());
    }

    private void record(int permanent, int reclaimable, long millis) {
        time.advanceMillis(millis);
        needed.record(permanent, reclaimable, time.nanos());
    }
}
