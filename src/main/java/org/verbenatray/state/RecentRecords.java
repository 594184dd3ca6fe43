package org.verbenatray.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.log.Verdict;

/** The ids of the records in a window of offsets, and the verdicts over those that this instance judged itself. */
final class RecentRecords {
    /** The number of offsets for which an id is remembered. */
    private final long windowOffsets;

    /** The remembered ids in the order of their offsets. */
    private final ArrayDeque<SeenId> order = new ArrayDeque<>();

    /** The verdicts by id; empty where the record came with a snapshot. */
    private final Map<String, Optional<Verdict>> verdicts = new HashMap<>();

    /** Creates an empty window. */
    RecentRecords(long windowOffsets) {
        this.windowOffsets = windowOffsets;
    }

    /** Forgets the ids that the given offset pushes out of the window. */
    void forgetBefore(long offset) {
        while (!order.isEmpty() && order.peek().offset() <= offset - windowOffsets) {
            verdicts.remove(order.poll().id());
        }
    }

    /** Returns whether an id is remembered. */
    boolean contains(String id) {
        return verdicts.containsKey(id);
    }

    /** Remembers an id with its verdict. */
    void remember(String id, Verdict verdict) {
        order.add(new SeenId(id, verdict.offset()));
        verdicts.put(id, Optional.of(verdict));
    }

    /** Returns the verdict over a remembered record. */
    Optional<Verdict> verdict(String id) {
        return verdicts.getOrDefault(id, Optional.empty());
    }

    /** Returns the remembered ids as JSON. */
    String exportState() {
        return RecordCodec.encode(new State(new ArrayList<>(order)));
    }

    /** Replaces the remembered ids. */
    void importState(String exported) {
        State state = RecordCodec.decode(exported, State.class);
        order.clear();
        verdicts.clear();
        order.addAll(state.ids());
        state.ids().forEach(seen -> verdicts.put(seen.id(), Optional.empty()));
    }

    /**
     * An id and where it stood.
     *
     * @param id the record id
     * @param offset the offset
     */
    private record SeenId(String id, long offset) {}

    /**
     * The exported form.
     *
     * @param ids the remembered ids in the order of their offsets
     */
    private record State(List<SeenId> ids) {}
}
