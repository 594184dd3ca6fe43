package org.verbenatray.fleet;

/** A request that this instance sent to an engine. Thread-safe; each event counts once. */
public final class Dispatch {
    /** The view that counts the dispatch. */
    private final FleetView fleet;

    /** The state of the engine. */
    private final EngineState engine;

    /** The load that the dispatch adds. */
    private final LoadChange load;

    /** The restarts of the engine before the dispatch. */
    private final int restarts;

    /** Whether the prompt is still to be processed. */
    private boolean prefilling = true;

    /** Whether the dispatch is over. */
    private boolean ended;

    /** Creates an instance from its parts. */
    private Dispatch(FleetView fleet, EngineState engine, LoadChange load, int restarts) {
        this.fleet = fleet;
        this.engine = engine;
        this.load = load;
        this.restarts = restarts;
    }

    /** Counts a dispatch and returns it. */
    static Dispatch start(FleetView fleet, EngineState engine, LoadChange load, long nowNanos) {
        Dispatch dispatch = new Dispatch(fleet, engine, load, engine.restarts());
        dispatch.count(load, nowNanos);
        return dispatch;
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
        count(new LoadChange(0, -load.prefillTokens(), 0), nowNanos);
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
        count(new LoadChange(load.streams(), prefillTokens, load.kvTokens()).negated(), nowNanos);
    }

    /** Counts a load change. */
    private void count(LoadChange change, long nowNanos) {
        engine.onLoadChange(change, nowNanos, restarts);
        fleet.onOwnChange(engine.name(), change);
    }
}
