package org.verbenatray.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The engines configured for one model, read one at a time so that the cost of a read does not grow with the fleet. */
public interface Candidates {
    /** Returns the engines whose role processes prompts. */
    Group prefilling();

    /** Returns the engines whose role generates tokens. */
    Group decoding();

    /** Returns the engine of the given name, or empty when it is not configured for the model. */
    Optional<EngineView> find(String engine);

    /** Returns candidates that read from the given list. */
    static Candidates of(List<EngineView> engines) {
        List<EngineView> prefilling =
                engines.stream().filter(engine -> engine.role().prefills()).toList();
        List<EngineView> decoding =
                engines.stream().filter(engine -> engine.role().decodes()).toList();
        Map<String, EngineView> byName = new HashMap<>();
        engines.forEach(engine -> byName.put(engine.name(), engine));
        return new Fixed(Group.of(prefilling), Group.of(decoding), byName);
    }

    /** Engines with random access. */
    interface Group {
        /** Returns the number of engines. */
        int size();

        /** Returns the present view of the engine at the index, from 0 to the size less one. */
        EngineView get(int index);

        /** Returns a group that reads from the given list. */
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
     * Candidates with views that do not change.
     *
     * @param prefilling the engines whose role processes prompts
     * @param decoding the engines whose role generates tokens
     * @param byName all engines by name
     */
    record Fixed(Group prefilling, Group decoding, Map<String, EngineView> byName) implements Candidates {
        @Override
        public Optional<EngineView> find(String engine) {
            return Optional.ofNullable(byName.get(engine));
        }
    }
}
