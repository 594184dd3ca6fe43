package org.verbenatray.routing;

import java.util.List;
import java.util.Optional;
import org.verbenatray.fleet.EngineView;

/** Finds the route with the smallest score among prefilling and generating engines. Not thread-safe. */
final class RouteSearch {
    /** The cost model. */
    private final CostModel costs;

    /** The request. */
    private final RouteRequest request;

    /** The size of the KV cache of one token in bytes. */
    private final int kvBytesPerToken;

    /** The time of a transfer within a failure domain. */
    private final double nearTransferMillis;

    /** The time of a transfer between failure domains. */
    private final double farTransferMillis;

    /** The smallest score so far. */
    private double bestScore = Double.POSITIVE_INFINITY;

    /** The prefill of the best route. */
    private PrefillOption bestPrefill;

    /** The generation of the best route. */
    private DecodeOption bestDecode;

    /** The time to the first token of the best route. */
    private double bestFirstTokenMillis;

    /** Creates a search from its parts. */
    private RouteSearch(CostModel costs, RouteRequest request, int kvBytesPerToken) {
        this.costs = costs;
        this.request = request;
        this.kvBytesPerToken = kvBytesPerToken;
        this.nearTransferMillis = transferMillis(false);
        this.farTransferMillis = transferMillis(true);
    }

    /** Returns a search that has seen no engine. */
    static RouteSearch create(CostModel costs, RouteRequest request, int kvBytesPerToken) {
        return new RouteSearch(costs, request, kvBytesPerToken);
    }

    /** Compares all pairs of the given engines; a pair of one engine with itself does all the work alone. */
    void scan(List<PrefillOption> prefills, List<EngineView> decoders) {
        for (EngineView decoder : decoders) {
            DecodeOption decode = new DecodeOption(
                    decoder,
                    costs.betweenTokensMillis(decoder, request.expectedOutputTokens()),
                    costs.decodeDelayMillis(decoder, request.expectedOutputTokens()),
                    costs.cautionMillis(decoder, request.failureDomain()));
            for (PrefillOption prefill : prefills) {
                compare(prefill, decode);
            }
        }
    }

    /** Returns the best route, or empty when no pair was compared. */
    Optional<Route> best() {
        if (bestDecode == null) {
            return Optional.empty();
        }
        Optional<String> prefillEngine = Optional.of(bestPrefill.engine().name())
                .filter(name -> !name.equals(bestDecode.engine().name()));
        return Optional.of(new Route(
                bestDecode.engine().name(),
                prefillEngine,
                bestPrefill.cachedTokens(),
                bestFirstTokenMillis,
                bestDecode.betweenTokensMillis()));
    }

    /** Keeps the pair when its score is smaller than the best so far. */
    private void compare(PrefillOption prefill, DecodeOption decode) {
        boolean alone = prefill.engine().name().equals(decode.engine().name());
        double firstTokenMillis = prefill.millis();
        double caution = decode.cautionMillis();
        if (!alone) {
            firstTokenMillis += transferBetween(prefill.engine(), decode.engine()) + decode.betweenTokensMillis();
            caution += prefill.cautionMillis();
        }
        double othersDelay = prefill.othersDelayMillis() + decode.othersDelayMillis();
        double score = caution
                + costs.score(
                        firstTokenMillis, decode.betweenTokensMillis(), request.expectedOutputTokens(), othersDelay);
        if (score < bestScore) {
            bestScore = score;
            bestPrefill = prefill;
            bestDecode = decode;
            bestFirstTokenMillis = firstTokenMillis;
        }
    }

    /** Returns the time of the transfer between two engines. */
    private double transferBetween(EngineView prefiller, EngineView decoder) {
        String domain = prefiller.spec().failureDomain();
        return domain.equals(decoder.spec().failureDomain()) ? nearTransferMillis : farTransferMillis;
    }

    /** Returns the time of a transfer of the prompt. */
    private double transferMillis(boolean crossesDomains) {
        return costs.transferMillis(request.promptTokens(), kvBytesPerToken, crossesDomains);
    }
}
