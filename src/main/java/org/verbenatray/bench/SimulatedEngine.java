package org.verbenatray.bench;

import java.util.Map;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.standin.engine.EngineModel;
import org.verbenatray.standin.engine.EngineModelSpec;

/** An engine of an experiment with what the deciding side knows of it. */
final class SimulatedEngine {
    /** The model that all engines serve. */
    static final String MODEL = "m";

    /** The name. */
    final String name;

    /** The failure domain. */
    final String failureDomain;

    /** The modelled engine. */
    final EngineModel model;

    /** What is known of it. */
    final LaggedView view;

    /** When the change of role that is under way was ordered. */
    long orderedNanos;

    /** Creates an idle engine. */
    private SimulatedEngine(String name, EngineSpec spec) {
        EngineModelSpec.Limits limits = EngineModelSpec.Limits.defaults().inRole(spec.initialRole());
        EngineModelSpec modelSpec = new EngineModelSpec(
                spec.prefillTokensPerSecond(),
                spec.decodeStepMillis(),
                spec.decodeStepMillisPerStream(),
                spec.maxStreams(),
                spec.kvTokens(),
                limits);
        this.name = name;
        this.failureDomain = spec.failureDomain();
        this.model = EngineModel.create(modelSpec, Map.of(MODEL, "1"), 0);
        this.view = new LaggedView(name, spec, model.load());
    }

    /** Returns an idle engine. */
    static SimulatedEngine create(String name, EngineSpec spec) {
        return new SimulatedEngine(name, spec);
    }

    /** Returns what is known of the engine. */
    EngineView viewAt(long nowNanos) {
        return view.at(nowNanos);
    }
}
