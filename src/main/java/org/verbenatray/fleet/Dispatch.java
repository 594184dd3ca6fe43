package org.verbenatray.fleet;

/**
 * Tracks the load of a request that this instance sent to an engine. Thread-safe; each event takes effect only once.
 */
public final class Dispatch {
    private final FleetView fleet;

    private final EngineState engine;

    /** The load added by the whole request. */
    private final LoadChange load;

    /** The number of restarts of the engine before the dispatch; a later restart drops its load. */
    private final int restartsBefore;

    /** Whether the engine still has to process the prompt. */
    private boolean prefillPending = true;

    private boolean ended;

    private Dispatch(FleetView fleet, EngineState engine, LoadChange load, int restartsBefore) {
        this.fleet = fleet;
        this.engine = engine;
        this.load = load;
        this.restartsBefore = restartsBefore;
    }

    /** Adds the load of a new dispatch to the engine and returns the dispatch. */
    static Dispatch start(FleetView fleet, EngineState engine, LoadChange load, long nowNanos) {
        Dispatch dispatch = new Dispatch(fleet, engine, load, engine.restarts());
        dispatch.applyLoadChange(load, nowNanos);
        return dispatch;
    }

    /** Returns the name of the engine. */
    public String engine() {
        return engine.name();
    }

    /** Records that the engine has processed the prompt and generated the first token. */
    public synchronized void onFirstToken(long nowNanos) {
        if (ended || !prefillPending) {
            return;
        }
        prefillPending = false;
        engine.onSuccess();
        applyLoadChange(new LoadChange(0, -load.prefillTokens(), 0), nowNanos);
    }

    /** Records that the engine finished the request or that the caller cancelled it. */
    public synchronized void onEnd(long nowNanos) {
        if (ended) {
            return;
        }
        if (!prefillPending) {
            engine.onSuccess();
        }
        removeRemainingLoad(nowNanos);
    }

    /** Records that the engine failed the request or did not respond. */
    public synchronized void onFailure(long nowNanos) {
        if (ended) {
            return;
        }
        engine.onFailure(nowNanos, restartsBefore);
        removeRemainingLoad(nowNanos);
    }

    /** Ends the dispatch and removes its remaining load from the engine. */
    private void removeRemainingLoad(long nowNanos) {
        ended = true;
        long prefillTokens = prefillPending ? load.prefillTokens() : 0;
        applyLoadChange(new LoadChange(load.streams(), prefillTokens, load.kvTokens()).negated(), nowNanos);
    }

    /** Applies a load change to the engine and to the changes that are sent to peers. */
    private void applyLoadChange(LoadChange change, long nowNanos) {
        engine.onLoadChange(change, nowNanos, restartsBefore);
        fleet.recordOwnChange(engine.name(), change);
    }
}
