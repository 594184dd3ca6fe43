package org.verbenatray.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.configuration.FleetConfiguration.ModelSpec;

/** An index of the engines of a fleet view by model and role. Immutable except for the engine states it refers to. */
final class FleetLayout {
    private final Map<String, EngineState> statesByName;

    private final Map<String, ModelEngines> enginesByModel;

    private FleetLayout(Map<String, EngineState> byName, Map<String, ModelEngines> byModel) {
        this.statesByName = byName;
        this.enginesByModel = byModel;
    }

    /** Returns an index without engines. */
    static FleetLayout empty() {
        return new FleetLayout(Map.of(), Map.of());
    }

    /** Returns an index of the given engines by the models that they are configured for. */
    static FleetLayout create(FleetConfiguration configuration, Map<String, EngineState> states) {
        Map<String, ModelEngines> byModel = new HashMap<>();
        configuration.models().forEach((name, model) -> byModel.put(name, ModelEngines.create(name, model, states)));
        return new FleetLayout(new TreeMap<>(states), byModel);
    }

    /** Returns the state of an engine; null if it is unknown. */
    EngineState state(String engine) {
        return statesByName.get(engine);
    }

    /** Returns all engines, ordered by name. */
    Collection<EngineState> all() {
        return statesByName.values();
    }

    /** Returns the engines of a model; the given function makes the view of an engine each time it is read. */
    Candidates candidates(String model, Function<EngineState, EngineView> viewer) {
        ModelEngines engines = enginesByModel.getOrDefault(model, ModelEngines.NONE);
        return new LiveCandidates(engines, viewer);
    }

    /**
     * The engines configured for one model.
     *
     * @param prefillEngines the engines whose role includes prefill
     * @param decodeEngines the engines whose role includes decode
     * @param byName all engines of the model by name
     */
    private record ModelEngines(
            List<EngineState> prefillEngines, List<EngineState> decodeEngines, Map<String, EngineState> byName) {
        /** No engines. */
        static final ModelEngines NONE = new ModelEngines(List.of(), List.of(), Map.of());

        /** Returns the engines that are configured for the model. */
        static ModelEngines create(String name, ModelSpec model, Map<String, EngineState> states) {
            List<EngineState> prefillEngines = new ArrayList<>();
            List<EngineState> decodeEngines = new ArrayList<>();
            Map<String, EngineState> byName = new HashMap<>();
            for (EngineState state : states.values()) {
                if (!serves(name, model, state.spec())) {
                    continue;
                }
                byName.put(state.name(), state);
                if (state.role().prefills()) {
                    prefillEngines.add(state);
                }
                if (state.role().decodes()) {
                    decodeEngines.add(state);
                }
            }
            return new ModelEngines(prefillEngines, decodeEngines, byName);
        }

        /** Returns whether an engine is configured for the model and in one of the model's failure domains. */
        private static boolean serves(String name, ModelSpec model, EngineSpec spec) {
            boolean mayServe = spec.models().isEmpty() || spec.models().contains(name);
            boolean inDomain =
                    model.failureDomains().isEmpty() || model.failureDomains().contains(spec.failureDomain());
            return mayServe && inDomain;
        }
    }

    /**
     * Candidates whose views are made from the current engine states when they are read.
     *
     * @param engines the engines of the model
     * @param viewer makes the view of an engine state
     */
    private record LiveCandidates(ModelEngines engines, Function<EngineState, EngineView> viewer)
            implements Candidates {
        @Override
        public Group prefillEngines() {
            return new LiveGroup(engines.prefillEngines(), viewer);
        }

        @Override
        public Group decodeEngines() {
            return new LiveGroup(engines.decodeEngines(), viewer);
        }

        @Override
        public Optional<EngineView> find(String engine) {
            return Optional.ofNullable(engines.byName().get(engine)).map(viewer);
        }
    }

    /**
     * A group whose views are made from the current engine states when they are read.
     *
     * @param states the engine states
     * @param viewer makes the view of an engine state
     */
    private record LiveGroup(List<EngineState> states, Function<EngineState, EngineView> viewer)
            implements Candidates.Group {
        @Override
        public int size() {
            return states.size();
        }

        @Override
        public EngineView get(int index) {
            return viewer.apply(states.get(index));
        }
    }
}
