package org.verbenatray.authority;

import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.verbenatray.authority.LocalLeaseState.PendingAppend;
import org.verbenatray.authority.LocalLeaseState.Tenure;
import org.verbenatray.log.RecordBody.LeaseClaim;
import org.verbenatray.log.RecordBody.LeaseHolderGone;
import org.verbenatray.log.RecordBody.LeaseRelease;
import org.verbenatray.log.RecordBody.LeaseRenewal;
import org.verbenatray.time.Deadline;

/**
 * Pure decision logic for one lease: derives the local state from the log and determines the next record to append.
 *
 * <p>Immutable and free of side effects; {@link LeaseManager} keeps the state and appends the records.
 */
final class LeaseProtocol {
    private final String lease;

    /** The name of this instance; no other process may ever use it. */
    private final String instance;

    private final LeaseTiming timing;

    LeaseProtocol(String lease, String instance, LeaseTiming timing) {
        this.lease = lease;
        this.instance = instance;
        this.timing = timing;
    }

    /**
     * Returns the local state updated from the state of the lease in the log.
     *
     * <p>This alone determines the result of a pending append: once the lease's last record differs from the one that
     * the append follows, the append either is that record or can never be accepted.
     */
    LocalLeaseState observe(LocalLeaseState local, Optional<LeaseState> leaseState, long nowNanos) {
        Optional<Long> lastOffset = leaseState.map(LeaseState::lastOffset);
        if (lastOffset.equals(local.lastSeenOffset())) {
            return local;
        }
        Optional<Tenure> tenure = leaseState.flatMap(state -> tenure(local, state));
        return new LocalLeaseState(lastOffset, nowNanos, Optional.empty(), tenure, local.settlementRetryAt());
    }

    /** Returns the record to append now; empty if none is due. */
    Optional<LeaseAction> nextAction(LocalLeaseState local, Optional<LeaseState> leaseState, Context context) {
        Optional<LeaseAction> tenureAction = nextTenureAction(local, leaseState, context);
        if (tenureAction.isPresent()) {
            return tenureAction;
        }
        if (leaseState.isEmpty() || !local.settlementRetryAt().hasPassed(context.nowNanos())) {
            return Optional.empty();
        }
        return nextSettlement(local, leaseState.get(), context);
    }

    /**
     * Returns the tenure of this instance after the lease's last record changed.
     *
     * <p>A lease held under this instance's name without a pending append of this process was claimed by an earlier
     * process of the same name, and grants nothing.
     */
    private Optional<Tenure> tenure(LocalLeaseState local, LeaseState state) {
        boolean heldUnderOwnName =
                state.holder().isPresent() && state.holder().get().equals(instance);
        if (!heldUnderOwnName || local.pendingAppend().isEmpty()) {
            return Optional.empty();
        }
        PendingAppend pending = local.pendingAppend().get();
        long startedNanos = pending.startedNanos();
        Deadline renewAt = Deadline.afterMillis(startedNanos, timing.renewIntervalMillis());
        Deadline expiresAt = Deadline.afterMillis(startedNanos, state.termMillis() - timing.driftMarginMillis());
        return Optional.of(new Tenure(state.fencing(), renewAt, expiresAt));
    }

    private Optional<LeaseAction> nextTenureAction(
            LocalLeaseState local, Optional<LeaseState> leaseState, Context context) {
        boolean retryNotDue = local.pendingAppend().isPresent()
                && !local.pendingAppend().get().retryAt().hasPassed(context.nowNanos());
        if (retryNotDue) {
            return Optional.empty();
        }
        if (local.tenure().isPresent()) {
            return nextHolderAction(local.tenure().get(), local.lastSeenOffset(), context);
        }
        boolean due = !context.releasing()
                && claimAllowedAt(local, leaseState, context.rank()).hasPassed(context.nowNanos());
        if (!due) {
            return Optional.empty();
        }
        LeaseClaim claim = new LeaseClaim(lease, instance, timing.termMillis());
        return Optional.of(new LeaseAction(claim, local.lastSeenOffset(), true));
    }

    private Optional<LeaseAction> nextHolderAction(Tenure tenure, Optional<Long> follows, Context context) {
        if (context.releasing() && context.noOrdersInFlight()) {
            LeaseRelease release = new LeaseRelease(lease, instance, tenure.fencing());
            return Optional.of(new LeaseAction(release, follows, true));
        }
        if (!tenure.renewAt().hasPassed(context.nowNanos())) {
            return Optional.empty();
        }
        LeaseRenewal renewal = new LeaseRenewal(lease, instance, tenure.fencing());
        return Optional.of(new LeaseAction(renewal, follows, true));
    }

    /**
     * Returns the time from which this instance may claim.
     *
     * <p>A held lease may be claimed a full term after its last record was read, a free lease at once. Each rank in the
     * order of preference waits longer, so that instances do not claim simultaneously.
     */
    private Deadline claimAllowedAt(LocalLeaseState local, Optional<LeaseState> leaseState, int rank) {
        boolean held = leaseState.isPresent() && leaseState.get().holder().isPresent();
        long termMillis = held ? leaseState.get().termMillis() : 0;
        return Deadline.afterMillis(local.lastSeenNanos(), termMillis + rank * timing.staggerMillis());
    }

    /**
     * Returns a record that removes one former holder: a release if it is this instance with an older fencing token, or
     * the report of this instance, as holder, that another one has terminated.
     */
    private Optional<LeaseAction> nextSettlement(LocalLeaseState local, LeaseState state, Context context) {
        Long ownFormerToken = state.unreleased().get(instance);
        if (ownFormerToken != null && context.noOrdersInFlight()) {
            return Optional.of(
                    new LeaseAction(new LeaseRelease(lease, instance, ownFormerToken), Optional.empty(), false));
        }
        if (local.tenure().isEmpty()) {
            return Optional.empty();
        }
        return state.unreleased().entrySet().stream()
                .filter(former -> !former.getKey().equals(instance))
                .filter(former -> context.instanceTerminated().test(former.getKey()))
                .findFirst()
                .map(this::settlementOf);
    }

    private LeaseAction settlementOf(Map.Entry<String, Long> former) {
        LeaseHolderGone gone = new LeaseHolderGone(lease, former.getKey(), former.getValue());
        return new LeaseAction(gone, Optional.empty(), false);
    }

    /**
     * Inputs of a decision besides the state of the lease.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @param rank the rank of this instance in the order of preference, starting at zero
     * @param releasing whether this instance is releasing the lease
     * @param noOrdersInFlight whether no order of this instance can reach an engine any more
     * @param instanceTerminated returns whether the platform's instance list shows an instance as terminated
     */
    record Context(
            long nowNanos,
            int rank,
            boolean releasing,
            boolean noOrdersInFlight,
            Predicate<String> instanceTerminated) {}
}
