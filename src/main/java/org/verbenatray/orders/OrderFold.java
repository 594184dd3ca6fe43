package org.verbenatray.orders;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.verbenatray.authority.LeaseFold;
import org.verbenatray.authority.LeaseState;
import org.verbenatray.log.RecordBody;
import org.verbenatray.log.RecordBody.OrderIntent;
import org.verbenatray.log.RecordBody.OrderOutcome;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.log.RecordFold;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.log.Verdict;
import org.verbenatray.log.Verdict.Kind;
import org.verbenatray.log.Verdict.Rejection;

/**
 * Folds the order records of the log into the journal of every engine.
 *
 * <p>Accepts at most one outstanding order per engine, and only records whose author holds the lease under its current
 * fencing token. Not thread-safe.
 */
public final class OrderFold implements RecordFold {
    /** The maximum number of engines. */
    private static final int MAX_ENGINES = 16_384;

    /** The lease state, folded from the same log by the same thread. */
    private final LeaseFold leases;

    private final SortedMap<String, EngineJournal> engines = new TreeMap<>();

    private OrderFold(LeaseFold leases) {
        this.leases = leases;
    }

    /** Returns an empty fold that reads the given leases; each record is applied to only one of the two folds. */
    public static OrderFold create(LeaseFold leases) {
        return new OrderFold(leases);
    }

    /** Returns the journal of an engine, empty if it never had an order. */
    public Optional<EngineJournal> journal(String engine) {
        return Optional.ofNullable(engines.get(engine));
    }

    /** Returns the outstanding orders of a lease, which a new lease holder has to settle first. */
    public List<OutstandingOrder> outstanding(String lease) {
        return engines.values().stream()
                .flatMap(journal -> journal.outstanding().stream())
                .filter(order -> order.lease().equals(lease))
                .toList();
    }

    @Override
    public String name() {
        return "orders";
    }

    @Override
    public boolean handles(RecordBody body) {
        return body instanceof OrderIntent || body instanceof OrderOutcome;
    }

    @Override
    public Verdict apply(StoredRecord stored) {
        RecordBody body = stored.record().body();
        if (body instanceof OrderIntent intent) {
            return applyIntent(stored, intent);
        }
        if (body instanceof OrderOutcome outcome) {
            return applyOutcome(stored, outcome);
        }
        throw new IllegalArgumentException("the order fold does not handle " + body.getClass());
    }

    @Override
    public String exportState() {
        return RecordCodec.encode(new Exported(engines));
    }

    @Override
    public void importState(String exported) {
        SortedMap<String, EngineJournal> imported =
                RecordCodec.decode(exported, Exported.class).engines();
        engines.clear();
        engines.putAll(imported);
    }

    private Verdict applyIntent(StoredRecord stored, OrderIntent intent) {
        long offset = stored.offset();
        Optional<Rejection> rejection = validateIntent(stored, intent);
        if (rejection.isPresent()) {
            return Verdict.rejected(offset, rejection.get());
        }
        OutstandingOrder order =
                new OutstandingOrder(intent.orderId(), intent.engine(), intent.lease(), offset, intent.action());
        engines.put(intent.engine(), new EngineJournal(offset, Optional.of(order)));
        return Verdict.accepted(offset);
    }

    /** Returns the reason to reject an intent, empty if it is valid. */
    private Optional<Rejection> validateIntent(StoredRecord stored, OrderIntent intent) {
        if (!isHolder(intent.lease(), stored.record().author(), intent.fencing())) {
            return Optional.of(notHolderRejection(intent.lease()));
        }
        if (Order.parse(intent.action()).isEmpty()) {
            return Optional.of(Rejection.create(Kind.INVALID, "unknown action: use role=, load=, unload= or withdraw"));
        }
        Optional<EngineJournal> journal = journal(intent.engine());
        if (journal.isPresent() && journal.get().outstanding().isPresent()) {
            return Optional.of(Rejection.create(Kind.STALE, "an order of this engine is outstanding: settle it first"));
        }
        if (!stored.record().follows().equals(journal.map(EngineJournal::lastOffset))) {
            return Optional.of(
                    Rejection.create(Kind.STALE, "the engine had another order in the meantime: plan again"));
        }
        if (journal.isEmpty() && engines.size() >= MAX_ENGINES) {
            return Optional.of(Rejection.create(Kind.FULL, "too many engines in the journal: use fewer engine names"));
        }
        return Optional.empty();
    }

    /** Applies an outcome, which may come from a later lease holder than the intent. */
    private Verdict applyOutcome(StoredRecord stored, OrderOutcome outcome) {
        long offset = stored.offset();
        if (!isHolder(outcome.lease(), stored.record().author(), outcome.fencing())) {
            return Verdict.rejected(offset, notHolderRejection(outcome.lease()));
        }
        boolean outstanding = journal(outcome.engine())
                .flatMap(EngineJournal::outstanding)
                .filter(order -> order.orderId().equals(outcome.orderId()))
                .filter(order -> order.lease().equals(outcome.lease()))
                .isPresent();
        if (!outstanding) {
            return Verdict.rejected(
                    offset, Rejection.create(Kind.STALE, "the order is not outstanding: nothing is left to settle"));
        }
        engines.put(outcome.engine(), new EngineJournal(offset, Optional.empty()));
        return Verdict.accepted(offset);
    }

    /** Returns whether an instance holds a lease under the given fencing token. */
    private boolean isHolder(String lease, String instance, long fencing) {
        Optional<LeaseState> state = leases.lease(lease);
        return state.isPresent() && state.get().isHeldBy(instance, fencing);
    }

    /** Returns the rejection of a record whose author does not hold the lease. */
    private Rejection notHolderRejection(String lease) {
        String detail = "the author does not hold the lease under this fencing token: leave the engine to its holder";
        Optional<LeaseState> state = leases.lease(lease);
        if (state.isEmpty()) {
            return Rejection.create(Kind.NOT_HOLDER, detail);
        }
        String holder = state.get().holder().orElse("released");
        return Rejection.createWithRival(
                Kind.NOT_HOLDER, detail, holder, state.get().fencing());
    }

    /**
     * The state as written to snapshots.
     *
     * @param engines the journals by engine name
     */
    private record Exported(SortedMap<String, EngineJournal> engines) {}
}
