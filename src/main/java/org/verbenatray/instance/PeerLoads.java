package org.verbenatray.instance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.verbenatray.fleet.FleetView;
import org.verbenatray.fleet.LoadChange;
import org.verbenatray.peers.generated.EngineLoad;
import org.verbenatray.peers.generated.LoadDelta;

/** Exchanges the load that the dispatches of each instance cause on engines; thread-safe. */
final class PeerLoads {
    /** The view that counts the load. */
    private final FleetView fleet;

    /** The totals of own dispatches by engine. */
    private final Map<String, LoadChange> own = new HashMap<>();

    /** The totals of each peer by instance and engine. */
    private final Map<String, Map<String, LoadChange>> peers = new HashMap<>();

    /** Creates an exchange. */
    PeerLoads(FleetView fleet) {
        this.fleet = fleet;
    }

    /** Returns the totals of the engines whose load changed since the last call. */
    synchronized List<EngineLoad> takeChanged() {
        List<EngineLoad> changed = new ArrayList<>();
        fleet.takeOwnChanges().forEach((engine, change) -> {
            LoadChange total = own.merge(engine, change, LoadChange::plus);
            changed.add(PeerMessages.load(engine, total));
            if (total.equals(LoadChange.NONE)) {
                own.remove(engine);
            }
        });
        return changed;
    }

    /** Returns all totals, for peers that linked lately. */
    synchronized List<EngineLoad> all() {
        return own.entrySet().stream()
                .map(entry -> PeerMessages.load(entry.getKey(), entry.getValue()))
                .toList();
    }

    /** Takes the totals of a peer over. */
    synchronized void received(LoadDelta delta, long nowNanos) {
        Map<String, LoadChange> known = peers.computeIfAbsent(delta.getInstance(), instance -> new HashMap<>());
        for (EngineLoad load : delta.getEnginesList()) {
            LoadChange total = PeerMessages.load(load);
            LoadChange before = known.getOrDefault(load.getEngine(), LoadChange.NONE);
            fleet.onPeerLoad(load.getEngine(), total.plus(before.negated()), 0, nowNanos);
            known.put(load.getEngine(), total);
        }
    }

    /** Forgets the load of a peer that is silent or has left. */
    synchronized void forget(String instance, long nowNanos) {
        Map<String, LoadChange> known = peers.remove(instance);
        if (known != null) {
            known.forEach((engine, total) -> fleet.onPeerLoad(engine, total.negated(), 0, nowNanos));
        }
    }
}
