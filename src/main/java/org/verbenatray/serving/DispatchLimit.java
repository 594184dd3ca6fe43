package org.verbenatray.serving;

import java.util.Set;
import java.util.function.BooleanSupplier;
import org.verbenatray.servers.ServerFailure;

/**
 * Limits the dispatches of one request: to a number of engines that it may have reached, and by a retry of the retry
 * throttle for each that it may have run on. Not thread-safe.
 */
final class DispatchLimit {
    /** The failures after which the engine has certainly not run the request. */
    private static final Set<ServerFailure.Kind> NEVER_RAN =
            Set.of(ServerFailure.Kind.NOT_CONNECTED, ServerFailure.Kind.LEAVING, ServerFailure.Kind.FULL);

    private final int maxDispatches;

    /** Takes one retry from the retry throttle; returns false when it allows none. */
    private final BooleanSupplier tryAcquireRetry;

    private int dispatchCount;

    /** The number of dispatches that reached no running engine. */
    private int unreachedCount;

    /** Whether the engine of the last dispatch was known to be down. */
    private boolean lastEngineDown;

    private DispatchLimit(int maxDispatches, BooleanSupplier tryAcquireRetry) {
        this.maxDispatches = maxDispatches;
        this.tryAcquireRetry = tryAcquireRetry;
    }

    /** Returns the limit of a request that was not dispatched yet. */
    static DispatchLimit create(int maxDispatches, BooleanSupplier tryAcquireRetry) {
        return new DispatchLimit(maxDispatches, tryAcquireRetry);
    }

    /**
     * Records a dispatch and returns the number of dispatches so far.
     *
     * @param engineDown whether the engine has crashed and was not seen again since
     */
    int recordDispatch(boolean engineDown) {
        lastEngineDown = engineDown;
        return ++dispatchCount;
    }

    /** Returns the number of dispatches so far, including those that reached no running engine. */
    int dispatchCount() {
        return dispatchCount;
    }

    /** Returns whether the request may be dispatched again after its last dispatch failed; may take a retry. */
    boolean tryReserveAnother(ServerFailure.Kind failure) {
        boolean unreached = lastEngineDown || failure == ServerFailure.Kind.NOT_CONNECTED;
        if (unreached) {
            unreachedCount++;
        }
        return dispatchCount - unreachedCount < maxDispatches
                && (unreached || NEVER_RAN.contains(failure) || tryAcquireRetry.getAsBoolean());
    }
}
