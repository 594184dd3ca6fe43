package org.verbenatray.authority;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.verbenatray.log.RecordBody;
import org.verbenatray.log.RecordBody.LeaseClaim;
import org.verbenatray.log.RecordBody.LeaseHolderGone;
import org.verbenatray.log.RecordBody.LeaseRelease;
import org.verbenatray.log.RecordBody.LeaseRenewal;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.log.RecordFold;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.log.Verdict;
import org.verbenatray.log.Verdict.Kind;
import org.verbenatray.log.Verdict.Rejection;

/**
 * Folds the lease records of the log into the state of every lease.
 *
 * <p>The log has no clock: a claim of a held lease is accepted if it follows the lease's last accepted record. The
 * claimant is responsible for waiting a full term first.
 */
public final class LeaseFold implements RecordFold {
    /** The maximum number of leases. */
    private static final int MAX_LEASES = 4_096;

    /** The maximum number of former holders per lease that neither released it nor were reported as terminated. */
    private static final int MAX_UNRELEASED = 256;

    private static final long MAX_TERM_MILLIS = 600_000;

    private final SortedMap<String, LeaseState> leases = new TreeMap<>();

    private LeaseFold() {}

    /** Returns a new fold without leases. */
    public static LeaseFold create() {
        return new LeaseFold();
    }

    /** Returns the state of a lease; empty if it was never claimed. */
    public Optional<LeaseState> lease(String name) {
        return Optional.ofNullable(leases.get(name));
    }

    @Override
    public String name() {
        return "leases";
    }

    @Override
    public boolean handles(RecordBody body) {
        return body instanceof LeaseClaim
                || body instanceof LeaseRenewal
                || body instanceof LeaseRelease
                || body instanceof LeaseHolderGone;
    }

    @Override
    public Verdict apply(StoredRecord stored) {
        RecordBody body = stored.record().body();
        if (body instanceof LeaseClaim claim) {
            return applyClaim(stored, claim);
        }
        if (body instanceof LeaseRenewal renewal) {
            return applyRenewal(stored, renewal);
        }
        if (body instanceof LeaseRelease release) {
            return applyRelease(stored, release);
        }
        if (body instanceof LeaseHolderGone gone) {
            return settleFormerHolder(stored.offset(), gone.lease(), gone.holder(), gone.fencing());
        }
        throw new IllegalArgumentException("the lease fold does not handle " + body.getClass());
    }

    @Override
    public String exportState() {
        return RecordCodec.encode(new Exported(leases));
    }

    @Override
    public void importState(String exported) {
        Map<String, LeaseState> imported =
                RecordCodec.decode(exported, Exported.class).leases();
        leases.clear();
        leases.putAll(imported);
    }

    private Verdict applyClaim(StoredRecord stored, LeaseClaim claim) {
        long offset = stored.offset();
        Optional<LeaseState> current = lease(claim.lease());
        Optional<Rejection> rejection = checkClaim(stored, claim, current);
        if (rejection.isPresent()) {
            return Verdict.rejected(offset, rejection.get());
        }
        SortedMap<String, Long> unreleased = new TreeMap<>();
        current.ifPresent(state -> {
            unreleased.putAll(state.unreleased());
            state.holder().ifPresent(former -> unreleased.put(former, state.fencing()));
        });
        LeaseState next = new LeaseState(Optional.of(claim.holder()), offset, claim.termMillis(), offset, unreleased);
        leases.put(claim.lease(), next);
        return Verdict.accepted(offset);
    }

    /** Returns the reason to reject a claim; empty if it is acceptable. */
    private Optional<Rejection> checkClaim(StoredRecord stored, LeaseClaim claim, Optional<LeaseState> current) {
        if (!stored.record().author().equals(claim.holder())) {
            return Optional.of(Rejection.create(Kind.INVALID, "a lease is claimed by its holder: append it there"));
        }
        if (claim.termMillis() <= 0 || claim.termMillis() > MAX_TERM_MILLIS) {
            return Optional.of(Rejection.create(
                    Kind.INVALID, "a term has 1 to " + MAX_TERM_MILLIS + " ms: change the lease times"));
        }
        if (!stored.record().follows().equals(current.map(LeaseState::lastOffset))) {
            return Optional.of(staleRejection(current));
        }
        if (current.isEmpty() && leases.size() >= MAX_LEASES) {
            return Optional.of(Rejection.create(Kind.FULL, "too many leases: use one per failure domain"));
        }
        if (current.isPresent() && current.get().unreleased().size() >= MAX_UNRELEASED) {
            return Optional.of(Rejection.create(
                    Kind.FULL, "too many former holders: record those gone from the instance list first"));
        }
        return Optional.empty();
    }

    private Verdict applyRenewal(StoredRecord stored, LeaseRenewal renewal) {
        long offset = stored.offset();
        Optional<LeaseState> current = lease(renewal.lease());
        boolean isHolder = current.isPresent()
                && current.get().isHeldBy(renewal.holder(), renewal.fencing())
                && stored.record().author().equals(renewal.holder());
        if (!isHolder) {
            return Verdict.rejected(offset, notHolderRejection(current));
        }
        LeaseState state = current.get();
        if (!stored.record().follows().equals(Optional.of(state.lastOffset()))) {
            return Verdict.rejected(offset, staleRejection(current));
        }
        leases.put(
                renewal.lease(),
                new LeaseState(state.holder(), state.fencing(), state.termMillis(), offset, state.unreleased()));
        return Verdict.accepted(offset);
    }

    /** Applies a release by the current holder or by a former one. */
    private Verdict applyRelease(StoredRecord stored, LeaseRelease release) {
        long offset = stored.offset();
        Optional<LeaseState> current = lease(release.lease());
        if (!stored.record().author().equals(release.holder())) {
            return Verdict.rejected(offset, notHolderRejection(current));
        }
        if (current.isEmpty() || !current.get().isHeldBy(release.holder(), release.fencing())) {
            return settleFormerHolder(offset, release.lease(), release.holder(), release.fencing());
        }
        LeaseState state = current.get();
        SortedMap<String, Long> unreleased = new TreeMap<>(state.unreleased());
        unreleased.remove(release.holder());
        leases.put(
                release.lease(),
                new LeaseState(Optional.empty(), state.fencing(), state.termMillis(), offset, unreleased));
        return Verdict.accepted(offset);
    }

    /** Removes a former holder that released the lease late or has terminated. */
    private Verdict settleFormerHolder(long offset, String lease, String former, long fencing) {
        Optional<LeaseState> current = lease(lease);
        boolean isFormerHolder = current.isPresent()
                && Long.valueOf(fencing).equals(current.get().unreleased().get(former));
        if (!isFormerHolder) {
            return Verdict.rejected(offset, notHolderRejection(current));
        }
        LeaseState state = current.get();
        SortedMap<String, Long> unreleased = new TreeMap<>(state.unreleased());
        unreleased.remove(former);
        leases.put(
                lease,
                new LeaseState(state.holder(), state.fencing(), state.termMillis(), state.lastOffset(), unreleased));
        return Verdict.accepted(offset);
    }

    /** Returns the rejection of a record that does not follow the lease's last record. */
    private static Rejection staleRejection(Optional<LeaseState> current) {
        String detail = "the lease changed meanwhile: read on and wait a full term before claiming";
        if (current.isEmpty()) {
            return Rejection.create(Kind.STALE, detail);
        }
        LeaseState state = current.get();
        return Rejection.createWithRival(Kind.STALE, detail, state.holder().orElse("released"), state.lastOffset());
    }

    /** Returns the rejection of a record whose author does not hold the lease. */
    private static Rejection notHolderRejection(Optional<LeaseState> current) {
        String detail = "the author does not hold the lease with this fencing token: claim it after it has expired";
        if (current.isEmpty()) {
            return Rejection.create(Kind.NOT_HOLDER, detail);
        }
        LeaseState state = current.get();
        return Rejection.createWithRival(Kind.NOT_HOLDER, detail, state.holder().orElse("released"), state.fencing());
    }

    /**
     * The JSON form of the state in snapshots.
     *
     * @param leases the leases by name
     */
    private record Exported(SortedMap<String, LeaseState> leases) {}
}
