package org.verbenatray.routing;

import java.util.Optional;
import org.verbenatray.fleet.Dispatch;
import org.verbenatray.fleet.FleetView;

/** The dispatches of a route to its one or two engines, counted in the fleet view. Thread-safe. */
public final class RouteDispatch {
    /** The dispatch to the other engine that processes the prompt, if any. */
    private final Optional<Dispatch> prefill;

    /** The dispatch to the engine that generates the tokens. */
    private final Dispatch decode;

    /** Creates an instance from its parts. */
    private RouteDispatch(Optional<Dispatch> prefill, Dispatch decode) {
        this.prefill = prefill;
        this.decode = decode;
    }

    /** Counts the dispatches of a route; empty when an engine is no longer known. */
    public static Optional<RouteDispatch> start(FleetView fleet, Route route, RouteRequest request, long nowNanos) {
        int prompt = request.promptTokens();
        int output = request.expectedOutputTokens();
        int cached = route.prefillEngine().isPresent() ? prompt : route.cachedTokens();
        Optional<Dispatch> prefill = route.prefillEngine()
                .flatMap(engine -> fleet.onDispatch(engine, prompt, route.cachedTokens(), nowNanos));
        Optional<Dispatch> decode = fleet.onDispatch(route.engine(), prompt, cached, output, nowNanos);
        if (decode.isEmpty() || prefill.isPresent() != route.prefillEngine().isPresent()) {
            prefill.ifPresent(dispatch -> dispatch.onEnd(nowNanos));
            decode.ifPresent(dispatch -> dispatch.onEnd(nowNanos));
            return Optional.empty();
        }
        return Optional.of(new RouteDispatch(prefill, decode.get()));
    }

    /** Notes that the prefilling engine has handed its KV cache over. */
    public void onPrefilled(long nowNanos) {
        prefill.ifPresent(dispatch -> {
            dispatch.onFirstToken(nowNanos);
            dispatch.onEnd(nowNanos);
        });
    }

    /** Notes that the generating engine sent its first token. */
    public void onFirstToken(long nowNanos) {
        onPrefilled(nowNanos);
        decode.onFirstToken(nowNanos);
    }

    /** Notes that the answer is whole or that the caller withdrew. */
    public void onEnd(long nowNanos) {
        prefill.ifPresent(dispatch -> dispatch.onEnd(nowNanos));
        decode.onEnd(nowNanos);
    }

    /** Notes that the prefilling engine failed; the generating engine was not asked or is not at fault. */
    public void onPrefillFailure(long nowNanos) {
        prefill.ifPresent(dispatch -> dispatch.onFailure(nowNanos));
        decode.onEnd(nowNanos);
    }

    /** Notes that the generating engine failed. */
    public void onFailure(long nowNanos) {
        prefill.ifPresent(dispatch -> dispatch.onEnd(nowNanos));
        decode.onFailure(nowNanos);
    }
}
