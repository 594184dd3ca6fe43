package org.verbenatray.instance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.verbenatray.fleet.FleetView;
import org.verbenatray.fleet.LoadChange;
import org.verbenatray.peers.generated.EngineLoad;
import org.verbenatray.peers.generated.LoadDelta;

/** Tracks the load that the dispatches of this instance and of each peer cause on engines. Thread-safe. */
final class LoadExchange {
    private final FleetView fleet;

    /** The load totals of this instance by engine; zero totals are removed. */
    private final Map<String, LoadChange> ownTotals = new HashMap<>();

    /** The last received totals by peer instance and engine. */
    private final Map<String, Map<String, LoadChange>> peerTotals = new HashMap<>();

    LoadExchange(FleetView fleet) {
        this.fleet = fleet;
    }

    /** Returns the own totals of the engines whose load changed since the last call, and clears the changes. */
    synchronized List<EngineLoad> drainChangedTotals() {
        List<EngineLoad> changed = new ArrayList<>();
        fleet.drainOwnChanges().forEach((engine, change) -> {
            LoadChange total = ownTotals.merge(engine, change, LoadChange::plus);
            changed.add(PeerMessages.loadToMessage(engine, total));
            if (total.equals(LoadChange.NONE)) {
                ownTotals.remove(engine);
            }
        });
        return changed;
    }

    /** Returns all totals of this instance, for peers that connected lately. */
    synchronized List<EngineLoad> allTotals() {
        return ownTotals.entrySet().stream()
                .map(entry -> PeerMessages.loadToMessage(entry.getKey(), entry.getValue()))
                .toList();
    }

    /** Replaces the totals of a peer and adds the differences to the fleet view. */
    synchronized void onPeerTotals(LoadDelta delta, long nowNanos) {
        Map<String, LoadChange> totals = peerTotals.computeIfAbsent(delta.getInstance(), instance -> new HashMap<>());
        for (EngineLoad load : delta.getEnginesList()) {
            LoadChange total = PeerMessages.loadFromMessage(load);
            LoadChange before = totals.getOrDefault(load.getEngine(), LoadChange.NONE);
            fleet.onPeerLoad(load.getEngine(), total.plus(before.negated()), 0, nowNanos);
            totals.put(load.getEngine(), total);
        }
    }

    /** Removes the load of a peer that is unreachable or leaving. */
    synchronized void removePeer(String instance, long nowNanos) {
        Map<String, LoadChange> totals = peerTotals.remove(instance);
        if (totals != null) {
            totals.forEach((engine, total) -> fleet.onPeerLoad(engine, total.negated(), 0, nowNanos));
        }
    }
}
