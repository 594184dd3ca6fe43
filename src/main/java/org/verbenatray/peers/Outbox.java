package org.verbenatray.peers;

import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.peers.generated.EngineLoad;
import org.verbenatray.peers.generated.Frame;
import org.verbenatray.peers.generated.LoadDelta;

/**
 * Send queue of one link, ordered by priority and limited by byte budgets. Not thread-safe.
 *
 * <p>A frame replaces a queued one with the same priority and key, so that only the latest state is sent. Load is sent
 * while the control budget is positive. Suspect reports may run it into a bounded debt. Heartbeats and leaving notices
 * are never delayed, so that a busy link doesn't make an instance look unreachable; they are few by nature. Records and
 * snapshots have a bulk budget of their own, because they go to a peer that is cut off from the platform and would use
 * up the control budget for minutes.
 */
final class Outbox {
    /** The debt of the control budget in bytes beyond which suspect reports are delayed. */
    static final long MAX_SUSPECT_DEBT_BYTES = 2_048;

    /** The queued frames by priority and key. */
    private final Map<FramePriority, LinkedHashMap<String, Frame>> waiting = new EnumMap<>(FramePriority.class);

    /** The budget of all frames but records and snapshots. */
    private final ByteBudget control;

    /** The budget of records and snapshots. */
    private final ByteBudget bulk;

    private long dropped;

    private Outbox(ByteBudget control, ByteBudget bulk) {
        this.control = control;
        this.bulk = bulk;
        for (FramePriority priority : FramePriority.values()) {
            waiting.put(priority, new LinkedHashMap<>());
        }
    }

    /** Returns an empty queue under the given budgets. */
    static Outbox create(ByteBudget control, ByteBudget bulk) {
        return new Outbox(control, bulk);
    }

    /**
     * Queues a frame, replacing a queued one with the same key; load deltas are merged by engine.
     *
     * <p>A frame is dropped if it is too large for the peer or if too many frames of its priority are queued. Of load
     * deltas, the oldest is dropped instead of the new one.
     */
    void put(FramePriority priority, String key, Frame frame) {
        if (frame.getSerializedSize() > PeerFrames.MAX_FRAME_BYTES) {
            dropped++;
            return;
        }
        LinkedHashMap<String, Frame> frames = waiting.get(priority);
        Frame before = frames.get(key);
        if (before == null && frames.size() >= priority.maxWaiting()) {
            dropped++;
            if (priority != FramePriority.LOAD) {
                return;
            }
            removeOldest(frames);
        }
        frames.put(key, before == null ? frame : merge(before, frame));
    }

    /** Changes the rate of the control budget. */
    void changeControlRate(double bytesPerSecond, long nowNanos) {
        control.changeRate(bytesPerSecond, nowNanos);
    }

    /** Removes and returns the next frame that the budgets permit, and charges its bytes. */
    Optional<Frame> poll(long nowNanos) {
        for (FramePriority priority : FramePriority.values()) {
            LinkedHashMap<String, Frame> frames = waiting.get(priority);
            if (!frames.isEmpty() && canSend(priority.budget(), nowNanos)) {
                Frame frame = removeOldest(frames);
                ByteBudget charged = priority.budget() == FramePriority.Budget.BULK ? bulk : control;
                charged.spend(PeerFrames.wireBytes(frame));
                return Optional.of(frame);
            }
        }
        return Optional.empty();
    }

    /** Returns whether frames of a priority are queued. */
    boolean hasWaiting(FramePriority priority) {
        return !waiting.get(priority).isEmpty();
    }

    /** Returns the number of queued frames. */
    int size() {
        return waiting.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns the number of frames dropped because they were too large or too many were queued. */
    long dropped() {
        return dropped;
    }

    private boolean canSend(FramePriority.Budget budget, long nowNanos) {
        return switch (budget) {
            case NONE -> true;
            case CONTROL -> control.canSpend(0, nowNanos);
            case CONTROL_WITH_DEBT -> control.canSpend(MAX_SUSPECT_DEBT_BYTES, nowNanos);
            case BULK -> bulk.canSpend(0, nowNanos);
        };
    }

    private static Frame removeOldest(LinkedHashMap<String, Frame> frames) {
        Iterator<Frame> oldest = frames.values().iterator();
        Frame frame = oldest.next();
        oldest.remove();
        return frame;
    }

    /**
     * Returns the frame that replaces two frames with the same key. Load deltas are merged as long as they fit one
     * frame.
     */
    private static Frame merge(Frame before, Frame after) {
        if (!before.hasLoadDelta() || !after.hasLoadDelta()) {
            return after;
        }
        Map<String, EngineLoad> loads = new LinkedHashMap<>();
        before.getLoadDelta().getEnginesList().forEach(load -> loads.put(load.getEngine(), load));
        after.getLoadDelta().getEnginesList().forEach(load -> loads.put(load.getEngine(), load));
        LoadDelta merged = after.getLoadDelta().toBuilder()
                .clearEngines()
                .addAllEngines(loads.values())
                .build();
        Frame frame = Frame.newBuilder().setLoadDelta(merged).build();
        return frame.getSerializedSize() > PeerFrames.MAX_FRAME_BYTES ? after : frame;
    }
}
