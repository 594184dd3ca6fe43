package org.verbenatray.authority;

import java.util.Optional;
import org.verbenatray.authority.LeaseProtocol.Context;
import org.verbenatray.log.Appender;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Timing;

/**
 * Claims, renews and releases one lease on behalf of this instance.
 *
 * <p>The authority expires one term minus the drift margin after the instance began to send its last accepted claim or
 * renewal, measured by its monotonic clock. It ends at once when the claim of another instance is read from the log.
 *
 * <p>Steps run on the scheduler of the given {@link Timing}; all public methods may be called from any thread.
 */
public final class LeaseManager {
    /** The interval between two steps in milliseconds. */
    private static final long STEP_INTERVAL_MILLIS = 100;

    private final String lease;

    private final LeaseProtocol protocol;

    private final LeaseTiming leaseTiming;

    private final String instance;

    private final LeaseDependencies dependencies;

    private final Appender appender;

    private final Timing timing;

    private LocalLeaseState localState;

    private boolean releasing;

    /** Whether scheduled steps do nothing any more. */
    private boolean stopped;

    private LeaseManager(
            String lease,
            String instance,
            LeaseTiming leaseTiming,
            LeaseDependencies dependencies,
            Appender appender,
            Timing timing) {
        this.lease = lease;
        this.instance = instance;
        this.leaseTiming = leaseTiming;
        this.dependencies = dependencies;
        this.appender = appender;
        this.timing = timing;
        this.protocol = new LeaseProtocol(lease, instance, leaseTiming);
        this.localState = LocalLeaseState.create(timing.ticker().nanos());
    }

    /**
     * Returns a manager that does nothing until {@link #start} is called.
     *
     * @param lease the name of the lease, which is the failure domain of its engines
     * @param instance the name of this instance, under which it appends records; no other process may ever use it
     */
    public static LeaseManager create(
            String lease,
            String instance,
            LeaseTiming leaseTiming,
            LeaseDependencies dependencies,
            Appender appender,
            Timing timing) {
        return new LeaseManager(lease, instance, leaseTiming, dependencies, appender, timing);
    }

    /** Starts to claim the lease and, once it is held, to renew it. */
    public void start() {
        timing.scheduler().runAt(timing.deadlineAfterMillis(0), this::runStep);
    }

    /** Stops all steps without a release, as if the process had been killed. */
    public synchronized void stop() {
        stopped = true;
    }

    /** Ends the authority at once, and releases the lease when no order of this instance can reach an engine. */
    public synchronized void startRelease() {
        releasing = true;
    }

    /**
     * Returns whether a release was requested and is complete: this instance neither holds the lease, nor has a pending
     * append, nor is listed as a former holder without a release. Reads the current lease state first.
     */
    public synchronized boolean isReleased() {
        Optional<LeaseState> leaseState = observe(timing.ticker().nanos());
        boolean releaseMissing =
                leaseState.isPresent() && leaseState.get().unreleased().containsKey(instance);
        return releasing
                && localState.tenure().isEmpty()
                && localState.pendingAppend().isEmpty()
                && !releaseMissing;
    }

    /** Reads the current lease state and returns the authority at the given time; empty if there is none. */
    public synchronized Optional<Authority> authority(long nowNanos) {
        Optional<LeaseState> leaseState = observe(nowNanos);
        if (releasing || stopped || localState.tenure().isEmpty()) {
            return Optional.empty();
        }
        LocalLeaseState.Tenure tenure = localState.tenure().get();
        if (tenure.expiresAt().hasPassed(nowNanos)) {
            return Optional.empty();
        }
        boolean settled =
                leaseState.isPresent() && leaseState.get().unreleased().isEmpty();
        return Optional.of(new Authority(lease, tenure.fencing(), tenure.expiresAt(), settled));
    }

    private void runStep() {
        if (isStopped()) {
            return;
        }
        try {
            appendDueRecord();
        } finally {
            timing.scheduler().runAt(timing.deadlineAfterMillis(STEP_INTERVAL_MILLIS), this::runStep);
        }
    }

    private synchronized boolean isStopped() {
        return stopped;
    }

    private void appendDueRecord() {
        Optional<LeaseAction> action = startNextAction();
        if (action.isEmpty()) {
            return;
        }
        Deadline deadline = timing.deadlineAfterMillis(leaseTiming.retryDelayMillis());
        // The verdict is not needed: the lease state in the fold shows the result, even if the log's response is lost.
        appender.submit(action.get().body(), action.get().follows(), deadline);
    }

    /** Returns the record that is due, if any, and notes that its append starts now. */
    private synchronized Optional<LeaseAction> startNextAction() {
        long nowNanos = timing.ticker().nanos();
        Optional<LeaseState> leaseState = observe(nowNanos);
        int rank = LeasePreference.rank(
                lease, instance, dependencies.liveInstances().get());
        boolean noOrdersInFlight = dependencies.noOrdersInFlight().getAsBoolean();
        Context context = new Context(nowNanos, rank, releasing, noOrdersInFlight, dependencies.instanceTerminated());
        Optional<LeaseAction> action = protocol.nextAction(localState, leaseState, context);
        action.ifPresent(due -> localState = localState.withAppendStarted(due, leaseTiming, nowNanos));
        return action;
    }

    /** Updates the local state from the lease state in the fold and returns the latter. */
    private Optional<LeaseState> observe(long nowNanos) {
        Optional<LeaseState> leaseState = dependencies.leaseState().get();
        localState = protocol.observe(localState, leaseState, nowNanos);
        return leaseState;
    }
}
