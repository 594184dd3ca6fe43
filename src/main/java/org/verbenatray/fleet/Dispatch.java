package org.verbenatray.fleet;

/** A request that this instance sent to an engine. Thread-safe; each event counts once. */
public final class Dispatch {
    /** The view that counts the dispatch. */
    private final FleetView fleet;

    /** The state of the engine. */
    private final EngineState engine;

    /** The load that the dispatch adds. */
    private final LoadChange load;

    /** Whether the prompt is still to be processed. */
    private boolean prefilling = true;

    /** Whether the dispatch is over. */
    private boolean ended;

    /** Creates an instance from its parts. */
    private Dispatch(FleetView fleet, EngineState engine, LoadChange load) {
        this.fleet = fleet;
        this.engine = engine;
        this.load = load;
    }

    /** Returns a dispatch whose load is counted by its creator. */
    static Dispatch create(FleetView fleet, EngineState engine, LoadChange load) {
        return new Dispatch(fleet, engine, load);
    }

    /** Returns the name of the engine. */
    public String engine() {
        return engine.name();
    }

    /** Notes that the engine processed the prompt. */
    public synchronized void onFirstToken(long nowNanos) {
        if (ended || !prefilling) {
            return;
        }
        prefilling = false;
        engine.onSuccess();
        fleet.count(engine, new LoadChange(0, -load.prefillTokens(), 0), nowNanos);
    }

    /** Notes that the engine finished the request or that its caller withdrew it. */
    public synchronized void onEnd(long nowNanos) {
        if (ended) {
            return;
        }
        if (!prefilling) {
            engine.onSuccess();
        }
        end(nowNanos);
    }

    /** Notes that the engine failed the request or did not answer. */
    public synchronized void onFailure(long nowNanos) {
        if (ended) {
            return;
        }
        engine.onFailure(nowNanos);
        end(nowNanos);
    }

    /** Takes the remaining load back. */
    private void end(long nowNanos) {
        ended = true;
        long prefillTokens = prefilling ? load.prefillTokens() : 0;
        fleet.count(engine, new LoadChange(load.streams(), prefillTokens, load.kvTokens()).negated(), nowNanos);
    }
}
