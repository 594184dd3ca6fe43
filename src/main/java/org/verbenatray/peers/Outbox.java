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
 * The frames that wait for one link: by priority, the latest frame for each key, within byte budgets. Not thread-safe.
 *
 * <p>Load waits until the control budget is positive. Suspects may run it into a bounded debt. Heartbeats and leaving
 * instances never wait, so that a busy link does not make an instance look dead; they are few by nature. Records and
 * snapshots have a bulk budget of their own, because they go to a neighbour that is cut off and would use up the
 * control budget for minutes.
 */
final class Outbox {
    /** The debt in bytes beyond which suspects wait. */
    static final long MAX_SUSPECT_DEBT_BYTES = 2_048;

    /** The waiting frames by priority and key. */
    private final Map<FramePriority, LinkedHashMap<String, Frame>> waiting = new EnumMap<>(FramePriority.class);

    /** The budget of all frames but snapshots. */
    private final ByteBudget control;

    /** The budget of snapshots. */
    private final ByteBudget bulk;

    /** The number of frames that were dropped because too many waited or they were too large. */
    private long dropped;

    /** Creates an empty outbox. */
    private Outbox(ByteBudget control, ByteBudget bulk) {
        this.control = control;
        this.bulk = bulk;
        for (FramePriority priority : FramePriority.values()) {
            waiting.put(priority, new LinkedHashMap<>());
        }
    }

    /** Returns an empty outbox under the given budgets. */
    static Outbox create(ByteBudget control, ByteBudget bulk) {
        return new Outbox(control, bulk);
    }

    /** Adds a frame in place of a waiting one with the same key; load is merged engine by engine. */
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
        frames.put(key, before == null ? frame : replaced(before, frame));
    }

    /** Changes the refill of the control budget. */
    void changeControlRate(double bytesPerSecond, long nowNanos) {
        control.changeRate(bytesPerSecond, nowNanos);
    }

    /** Removes and returns the next frame that the budgets allow. */
    Optional<Frame> poll(long nowNanos) {
        for (FramePriority priority : FramePriority.values()) {
            LinkedHashMap<String, Frame> frames = waiting.get(priority);
            if (!frames.isEmpty() && allowed(priority.budget(), nowNanos)) {
                Frame frame = removeOldest(frames);
                ByteBudget charged = priority.budget() == FramePriority.Budget.BULK ? bulk : control;
                charged.spend(PeerFrames.wireBytes(frame));
                return Optional.of(frame);
            }
        }
        return Optional.empty();
    }

    /** Returns whether frames of one priority wait. */
    boolean waits(FramePriority priority) {
        return !waiting.get(priority).isEmpty();
    }

    /** Returns the number of waiting frames. */
    int size() {
        return waiting.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns the number of frames that were dropped because too many waited or they were too large. */
    long dropped() {
        return dropped;
    }

    /** Returns whether a budget allows another frame. */
    private boolean allowed(FramePriority.Budget budget, long nowNanos) {
        return switch (budget) {
            case NONE -> true;
            case CONTROL -> control.allows(0, nowNanos);
            case CONTROL_WITH_DEBT -> control.allows(MAX_SUSPECT_DEBT_BYTES, nowNanos);
            case BULK -> bulk.allows(0, nowNanos);
        };
    }

    /** Removes and returns the frame that waited longest. */
    private static Frame removeOldest(LinkedHashMap<String, Frame> frames) {
        Iterator<Frame> oldest = frames.values().iterator();
        Frame frame = oldest.next();
        oldest.remove();
        return frame;
    }

    /** Returns the frame that stands for two frames with one key. */
    private static Frame replaced(Frame before, Frame after) {
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
