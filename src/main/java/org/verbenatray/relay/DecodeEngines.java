package org.verbenatray.relay;

import java.util.List;
import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendStage;

/**
 * Chooses the engines that generate the output of one request, for a stream that has begun only those of the software
 * version that began it. Used on one thread.
 */
final class DecodeEngines {
    private final RelayContext context;
    private final RelayCall call;
    private final TriedServers tried;

    /** The software version that must generate the rest of the stream, null before the first event of a new one. */
    private String requiredVersion;

    private DecodeEngines(RelayContext context, RelayCall call) {
        this.context = context;
        this.call = call;
        this.tried = TriedServers.empty(context.ticker(), this::bestExcept);
    }

    /** Returns the engines for a call. */
    static DecodeEngines forCall(RelayContext context, RelayCall call) {
        return new DecodeEngines(context, call);
    }

    /** Allows only engines of the given software version from now on. */
    void require(String softwareVersion) {
        requiredVersion = softwareVersion;
    }

    /** Records that an engine was tried. */
    void recordTried(Backend engine) {
        tried.add(engine);
    }

    /** Returns the outcome of a call for which no engine is left. */
    String missingOutcome() {
        return requiredVersion == null ? "no_server" : "no_server_of_version";
    }

    /** Returns the engines that may prefill the prompt or generate the output. */
    List<Backend> withPrefillEngines() {
        return call.servers().usable().stream()
                .filter(engine -> engine.entry().stage() == BackendStage.PREFILL || mayGenerate(engine))
                .toList();
    }

    /** Returns the engine that should get the request next. */
    Optional<Backend> choose() {
        return tried.choose(call.owed());
    }

    /** Returns whether an engine accepts requests that was not tried and is not the given one. */
    boolean otherAccepts(Backend current) {
        return tried.otherAccepts(current);
    }

    private Optional<Backend> bestExcept(List<Backend> excluded) {
        return context.planner().chooseDecodeEngine(call.request().prompt(), withPrefillEngines(), excluded);
    }

    private boolean mayGenerate(Backend engine) {
        return requiredVersion == null || requiredVersion.equals(engine.entry().softwareVersion());
    }
}
