package org.verbenatray.routing;

import java.util.Optional;
import org.verbenatray.fleet.Dispatch;
import org.verbenatray.fleet.FleetView;

/** The dispatches of a request to the one or two engines of its route, accounted for in the fleet view. Thread-safe. */
public final class RouteDispatch {
    /** The dispatch to a separate prefill engine, if any. */
    private final Optional<Dispatch> prefill;

    private final Dispatch decode;

    private RouteDispatch(Optional<Dispatch> prefill, Dispatch decode) {
        this.prefill = prefill;
        this.decode = decode;
    }

    /**
     * Records the dispatches of a route in the fleet view. Returns empty, with nothing left recorded, when an engine is
     * no longer known.
     */
    public static Optional<RouteDispatch> start(
            FleetView fleet, EngineRoute route, RouteRequest request, long nowNanos) {
        int prompt = request.promptTokens();
        int output = request.expectedOutputTokens();
        int cached = route.prefillEngine().isPresent() ? prompt : route.cachedTokens();
        Optional<Dispatch> prefill = route.prefillEngine()
                .flatMap(engine -> fleet.onDispatch(engine, prompt, route.cachedTokens(), nowNanos));
        Optional<Dispatch> decode = fleet.onDispatch(route.decodeEngine(), prompt, cached, output, nowNanos);
        if (decode.isEmpty() || prefill.isPresent() != route.prefillEngine().isPresent()) {
            prefill.ifPresent(dispatch -> dispatch.onEnd(nowNanos));
            decode.ifPresent(dispatch -> dispatch.onEnd(nowNanos));
            return Optional.empty();
        }
        return Optional.of(new RouteDispatch(prefill, decode.get()));
    }

    /** Records that the prefill engine has transferred its KV cache. */
    public void onPrefilled(long nowNanos) {
        prefill.ifPresent(dispatch -> {
            dispatch.onFirstToken(nowNanos);
            dispatch.onEnd(nowNanos);
        });
    }

    /** Records that the decode engine sent the first token. */
    public void onFirstToken(long nowNanos) {
        onPrefilled(nowNanos);
        decode.onFirstToken(nowNanos);
    }

    /** Records that the response is complete or that the request was cancelled. */
    public void onEnd(long nowNanos) {
        prefill.ifPresent(dispatch -> dispatch.onEnd(nowNanos));
        decode.onEnd(nowNanos);
    }

    /** Records that the prefill engine failed. The decode engine was not called or is not at fault. */
    public void onPrefillFailure(long nowNanos) {
        prefill.ifPresent(dispatch -> dispatch.onFailure(nowNanos));
        decode.onEnd(nowNanos);
    }

    /** Records that the decode engine failed. */
    public void onDecodeFailure(long nowNanos) {
        prefill.ifPresent(dispatch -> dispatch.onEnd(nowNanos));
        decode.onFailure(nowNanos);
    }
}
