package org.verbenatray.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.log.Verdict;

/**
 * Stores the ids of the records in a window of recent offsets, for the detection of duplicates, and the verdicts on
 * those that this instance applied itself.
 */
final class RecentRecords {
    /** The size of the window, in offsets. */
    private final long windowOffsets;

    /** The ids in the window, in the order of their offsets. */
    private final ArrayDeque<SeenId> order = new ArrayDeque<>();

    /** The verdicts by id; empty for ids that were restored from a snapshot. */
    private final Map<String, Optional<Verdict>> verdicts = new HashMap<>();

    RecentRecords(long windowOffsets) {
        this.windowOffsets = windowOffsets;
    }

    /** Removes the ids that fall out of the window when it ends at the given offset. */
    void evictOutsideWindow(long offset) {
        while (!order.isEmpty() && order.peek().offset() <= offset - windowOffsets) {
            verdicts.remove(order.poll().id());
        }
    }

    /** Returns whether the window contains the id. */
    boolean contains(String id) {
        return verdicts.containsKey(id);
    }

    /** Adds an id with its verdict; offsets must increase from call to call. */
    void add(String id, Verdict verdict) {
        order.add(new SeenId(id, verdict.offset()));
        verdicts.put(id, Optional.of(verdict));
    }

    /** Returns the verdict on a record; empty if the id is unknown or was restored from a snapshot. */
    Optional<Verdict> verdict(String id) {
        return verdicts.getOrDefault(id, Optional.empty());
    }

    /** Returns the ids and their offsets as JSON. */
    String exportState() {
        return RecordCodec.encode(new State(new ArrayList<>(order)));
    }

    /** Replaces the content of the window; the verdicts on the imported ids are unknown. */
    void importState(String exported) {
        State state = RecordCodec.decode(exported, State.class);
        order.clear();
        verdicts.clear();
        order.addAll(state.ids());
        state.ids().forEach(seen -> verdicts.put(seen.id(), Optional.empty()));
    }

    /**
     * An id with the offset of its record.
     *
     * @param id the record id
     * @param offset the offset of the record
     */
    private record SeenId(String id, long offset) {}

    /**
     * The exported form.
     *
     * @param ids the ids in the window, in the order of their offsets
     */
    private record State(List<SeenId> ids) {}
}
