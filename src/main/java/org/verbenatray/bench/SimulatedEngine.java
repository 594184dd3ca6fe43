package org.verbenatray.bench;

import java.util.Map;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.fleet.EngineCondition;
import org.verbenatray.fleet.LoadReport;
import org.verbenatray.standin.engine.EngineLoad;
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

    /** The configuration. */
    final EngineSpec spec;

    /** Whether it is leaving. */
    boolean leaving;

    /** When the change of role that is under way was ordered. */
    long orderedNanos;

    /** The number of its starts. */
    private long incarnation = 1;

    /** The number of reports of this start. */
    private long reports;

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
        this.spec = spec;
    }

    /** Returns an idle engine. */
    static SimulatedEngine create(String name, EngineSpec spec) {
        return new SimulatedEngine(name, spec);
    }

    /** Returns a load report that arrives the given milliseconds later. */
    LoadReport report(long lagMillis) {
        EngineLoad load = model.load();
        boolean changing = load.condition() == EngineCondition.CHANGING;
        return new LoadReport(
                name,
                incarnation,
                reports++,
                load.role(),
                leaving,
                changing,
                load.acceptedStreams(),
                load.queuedPrefillTokens(),
                load.usedKvTokens(),
                lagMillis);
    }

    /** Comes back after a withdrawal. */
    void comeBack() {
        leaving = false;
        incarnation++;
        reports = 0;
    }
}
