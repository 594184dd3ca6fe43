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

/** The engines of a fleet view arranged by model and role. Immutable, but for the states it refers to. */
final class FleetLayout {
    /** The engines by name. */
    private final Map<String, EngineState> byName;

    /** The engines by model. */
    private final Map<String, ModelEngines> byModel;

    /** Creates an instance from its parts. */
    private FleetLayout(Map<String, EngineState> byName, Map<String, ModelEngines> byModel) {
        this.byName = byName;
        this.byModel = byModel;
    }

    /** Returns an arrangement of no engines. */
    static FleetLayout empty() {
        return new FleetLayout(Map.of(), Map.of());
    }

    /** Arranges the engines by the models that they are configured for. */
    static FleetLayout create(FleetConfiguration configuration, Map<String, EngineState> states) {
        Map<String, ModelEngines> byModel = new HashMap<>();
        configuration.models().forEach((name, model) -> byModel.put(name, ModelEngines.create(name, model, states)));
        return new FleetLayout(new TreeMap<>(states), byModel);
    }

    /** Returns the state of an engine, null when it is unknown. */
    EngineState state(String engine) {
        return byName.get(engine);
    }

    /** Returns all engines in the order of their names. */
    Collection<EngineState> all() {
        return byName.values();
    }

    /** Returns the engines of a model, each viewed by the given function when it is read. */
    Candidates candidates(String model, Function<EngineState, EngineView> viewer) {
        ModelEngines engines = byModel.getOrDefault(model, ModelEngines.NONE);
        return new LazyCandidates(engines, viewer);
    }

    /**
     * The engines configured for one model.
     *
     * @param prefilling the engines whose role processes prompts
     * @param decoding the engines whose role generates tokens
     * @param byName all of them by name
     */
    private record ModelEngines(
            List<EngineState> prefilling, List<EngineState> decoding, Map<String, EngineState> byName) {
        /** No engines. */
        static final ModelEngines NONE = new ModelEngines(List.of(), List.of(), Map.of());

        /** Returns the engines that are configured for the model. */
        static ModelEngines create(String name, ModelSpec model, Map<String, EngineState> states) {
            List<EngineState> prefilling = new ArrayList<>();
            List<EngineState> decoding = new ArrayList<>();
            Map<String, EngineState> byName = new HashMap<>();
            for (EngineState state : states.values()) {
                if (!serves(name, model, state.spec())) {
                    continue;
                }
                byName.put(state.name(), state);
                if (state.role().prefills()) {
                    prefilling.add(state);
                }
                if (state.role().decodes()) {
                    decoding.add(state);
                }
            }
            return new ModelEngines(prefilling, decoding, byName);
        }

        /** Returns whether an engine is configured for the model. */
        private static boolean serves(String name, ModelSpec model, EngineSpec spec) {
            boolean mayServe = spec.models().isEmpty() || spec.models().contains(name);
            boolean inDomain =
                    model.failureDomains().isEmpty() || model.failureDomains().contains(spec.failureDomain());
            return mayServe && inDomain;
        }
    }

    /**
     * Candidates whose views are made when they are read.
     *
     * @param engines the engines
     * @param viewer makes the view of an engine
     */
    private record LazyCandidates(ModelEngines engines, Function<EngineState, EngineView> viewer)
            implements Candidates {
        @Override
        public Group prefilling() {
            return new LazyGroup(engines.prefilling(), viewer);
        }

        @Override
        public Group decoding() {
            return new LazyGroup(engines.decoding(), viewer);
        }

        @Override
        public Optional<EngineView> find(String engine) {
            return Optional.ofNullable(engines.byName().get(engine)).map(viewer);
        }
    }

    /**
     * A group whose views are made when they are read.
     *
     * @param states the engines
     * @param viewer makes the view of an engine
     */
    private record LazyGroup(List<EngineState> states, Function<EngineState, EngineView> viewer)
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
