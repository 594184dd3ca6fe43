package org.verbenatray.authority;

import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.verbenatray.authority.LeaseMemory.Attempt;
import org.verbenatray.authority.LeaseMemory.Tenure;
import org.verbenatray.log.RecordBody.LeaseClaim;
import org.verbenatray.log.RecordBody.LeaseHolderGone;
import org.verbenatray.log.RecordBody.LeaseRelease;
import org.verbenatray.log.RecordBody.LeaseRenewal;
import org.verbenatray.time.Deadline;

/** The decisions of an instance about one lease. */
final class LeaseSteps {
    /** The lease's name. */
    private final String lease;

    /** The instance that decides; the name must never be used by a second process. */
    private final String instance;

    /** The times of the lease. */
    private final LeaseTerms terms;

    /** Creates the decisions of an instance. */
    LeaseSteps(String lease, String instance, LeaseTerms terms) {
        this.lease = lease;
        this.instance = instance;
        this.terms = terms;
    }

    /**
     * Takes into account what the log says now.
     *
     * <p>An own append is settled by this alone: once the lease's last record is another than the append follows, the
     * append either was that record or can never be accepted.
     */
    LeaseMemory observe(LeaseMemory memory, Optional<LeaseState> view, long nowNanos) {
        Optional<Long> lastOffset = view.map(LeaseState::lastOffset);
        if (lastOffset.equals(memory.seenOffset())) {
            return memory;
        }
        Optional<Tenure> tenure = view.flatMap(state -> tenure(memory, state));
        return new LeaseMemory(lastOffset, nowNanos, Optional.empty(), tenure, memory.settlementRetry());
    }

    /** Returns the record to append now, empty when there is nothing to do. */
    Optional<LeaseAction> next(LeaseMemory memory, Optional<LeaseState> view, Circumstances now) {
        Optional<LeaseAction> holding = nextOfHolding(memory, view, now);
        if (holding.isPresent()) {
            return holding;
        }
        if (view.isEmpty() || !memory.settlementRetry().passed(now.nowNanos())) {
            return Optional.empty();
        }
        return nextOfFormer(memory, view.get(), now);
    }

    /** Returns the own holding after the log's last record about the lease changed. */
    private Optional<Tenure> tenure(LeaseMemory memory, LeaseState state) {
        boolean ownName = state.holder().isPresent() && state.holder().get().equals(instance);
        if (!ownName || memory.attempt().isEmpty()) {
            return Optional.empty();
        }
        Attempt attempt = memory.attempt().get();
        long startedNanos = attempt.startedNanos();
        Deadline renewal = Deadline.afterMillis(startedNanos, terms.renewMillis());
        Deadline end = Deadline.afterMillis(startedNanos, state.termMillis() - terms.driftMarginMillis());
        return Optional.of(new Tenure(state.fencing(), renewal, end));
    }

    /** Returns the claim, renewal or release that is due. */
    private Optional<LeaseAction> nextOfHolding(LeaseMemory memory, Optional<LeaseState> view, Circumstances now) {
        boolean waiting =
                memory.attempt().isPresent() && !memory.attempt().get().retry().passed(now.nowNanos());
        if (waiting) {
            return Optional.empty();
        }
        if (memory.tenure().isPresent()) {
            return nextOfHolder(memory.tenure().get(), memory.seenOffset(), now);
        }
        boolean due = !now.leaving() && claimAllowedAt(memory, view, now.rank()).passed(now.nowNanos());
        if (!due) {
            return Optional.empty();
        }
        LeaseClaim claim = new LeaseClaim(lease, instance, terms.termMillis());
        return Optional.of(new LeaseAction(claim, memory.seenOffset(), true));
    }

    /** Returns the renewal or release that is due. */
    private Optional<LeaseAction> nextOfHolder(Tenure tenure, Optional<Long> follows, Circumstances now) {
        if (now.leaving() && now.quiet()) {
            LeaseRelease release = new LeaseRelease(lease, instance, tenure.fencing());
            return Optional.of(new LeaseAction(release, follows, true));
        }
        if (!tenure.renewal().passed(now.nowNanos())) {
            return Optional.empty();
        }
        LeaseRenewal renewal = new LeaseRenewal(lease, instance, tenure.fencing());
        return Optional.of(new LeaseAction(renewal, follows, true));
    }

    /**
     * Returns the time from which this instance may claim.
     *
     * <p>A held lease is claimed a full term after its last record was read, a free one at once; each rank in the order
     * of preference waits longer, so that instances do not claim together.
     */
    private Deadline claimAllowedAt(LeaseMemory memory, Optional<LeaseState> view, int rank) {
        boolean held = view.isPresent() && view.get().holder().isPresent();
        long termMillis = held ? view.get().termMillis() : 0;
        return Deadline.afterMillis(memory.seenAtNanos(), termMillis + rank * terms.staggerMillis());
    }

    /** Returns the record that settles one former holder, which may be this instance under an older number. */
    private Optional<LeaseAction> nextOfFormer(LeaseMemory memory, LeaseState state, Circumstances now) {
        Long ownFormer = state.unreleased().get(instance);
        if (ownFormer != null && now.quiet()) {
            return Optional.of(new LeaseAction(new LeaseRelease(lease, instance, ownFormer), Optional.empty(), false));
        }
        if (memory.tenure().isEmpty()) {
            return Optional.empty();
        }
        return state.unreleased().entrySet().stream()
                .filter(former -> !former.getKey().equals(instance))
                .filter(former -> now.instanceGone().test(former.getKey()))
                .findFirst()
                .map(this::holderGone);
    }

    /** Returns the record that states that a former holder is gone. */
    private LeaseAction holderGone(Map.Entry<String, Long> former) {
        LeaseHolderGone gone = new LeaseHolderGone(lease, former.getKey(), former.getValue());
        return new LeaseAction(gone, Optional.empty(), false);
    }

    /**
     * What a decision depends on besides the log.
     *
     * @param nowNanos the time
     * @param rank the place of this instance in the order of preference, zero for the first
     * @param leaving whether this instance is leaving
     * @param quiet whether no order of this instance can still reach an engine
     * @param instanceGone whether the platform's instance list shows that an instance is gone
     */
    record Circumstances(long nowNanos, int rank, boolean leaving, boolean quiet, Predicate<String> instanceGone) {}
}
