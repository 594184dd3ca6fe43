package org.verbenatray.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The engines configured for one model. Engines are read one at a time, so that the cost of a routing decision does not
 * grow with the size of the fleet.
 */
public interface Candidates {
    /** Returns the engines whose role includes prefill. */
    Group prefillEngines();

    /** Returns the engines whose role includes decode. */
    Group decodeEngines();

    /** Returns the engine of the given name; empty if it is not configured for the model. */
    Optional<EngineView> find(String engine);

    /** Returns candidates backed by the given list. */
    static Candidates of(List<EngineView> engines) {
        List<EngineView> prefillEngines =
                engines.stream().filter(engine -> engine.role().prefills()).toList();
        List<EngineView> decodeEngines =
                engines.stream().filter(engine -> engine.role().decodes()).toList();
        Map<String, EngineView> byName = new HashMap<>();
        engines.forEach(engine -> byName.put(engine.name(), engine));
        return new Fixed(Group.of(prefillEngines), Group.of(decodeEngines), byName);
    }

    /** A list of engines with random access. */
    interface Group {
        /** Returns the number of engines. */
        int size();

        /** Returns the current view of the engine at the index, from 0 to {@code size() - 1}. */
        EngineView get(int index);

        /** Returns a group backed by the given list. */
        static Group of(List<EngineView> engines) {
            return new Group() {
                @Override
                public int size() {
                    return engines.size();
                }

                @Override
                public EngineView get(int index) {
                    return engines.get(index);
                }
            };
        }
    }

    /**
     * Candidates with immutable views.
     *
     * @param prefillEngines the engines whose role includes prefill
     * @param decodeEngines the engines whose role includes decode
     * @param byName all engines by name
     */
    record Fixed(Group prefillEngines, Group decodeEngines, Map<String, EngineView> byName) implements Candidates {
        @Override
        public Optional<EngineView> find(String engine) {
            return Optional.ofNullable(byName.get(engine));
        }
    }
}
