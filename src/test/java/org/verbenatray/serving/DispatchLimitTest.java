package org.verbenatray.serving;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.servers.ServerFailure;

/** Tests for {@link DispatchLimit}. */
public final class DispatchLimitTest {
    /** Dispatches to engines that were still down used up the limit before the wait for an engine began. */
    @Test
    public void dispatchesThatReachNoRunningEngineDoNotCount() {
        DispatchLimit limit = DispatchLimit.create(2, () -> true);
        for (int round = 0; round < 10; round++) {
            limit.recordDispatch(false);
            Assert.assertTrue(limit.tryReserveAnother(ServerFailure.Kind.NOT_CONNECTED));
            limit.recordDispatch(true);
            Assert.assertTrue(limit.tryReserveAnother(ServerFailure.Kind.BROKEN));
        }
        Assert.assertEquals(limit.dispatchCount(), 20);
    }

    @Test
    public void dispatchesThatMayHaveRunAreLimited() {
        DispatchLimit limit = DispatchLimit.create(2, () -> true);
        limit.recordDispatch(false);
        Assert.assertTrue(limit.tryReserveAnother(ServerFailure.Kind.BROKEN));
        limit.recordDispatch(false);
        Assert.assertFalse(limit.tryReserveAnother(ServerFailure.Kind.BROKEN));
    }

    @Test
    public void aRetryIsTakenOnlyForADispatchThatMayHaveRun() {
        DispatchLimit limit = DispatchLimit.create(4, () -> false);
        limit.recordDispatch(false);
        Assert.assertTrue(limit.tryReserveAnother(ServerFailure.Kind.FULL));
        limit.recordDispatch(false);
        Assert.assertFalse(limit.tryReserveAnother(ServerFailure.Kind.BROKEN));
    }
}
