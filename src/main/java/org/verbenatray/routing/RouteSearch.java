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

    /** The generating engine of the best route. */
    private EngineView bestDecoder;

    /** The time to the first token of the best route. */
    private double bestFirstTokenMillis;

    /** The time between tokens of the best route. */
    private double bestBetweenTokensMillis;

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
            double betweenTokensMillis = costs.betweenTokensMillis(decoder);
            double caution = costs.cautionMillis(decoder, request.failureDomain());
            for (PrefillOption prefill : prefills) {
                compare(prefill, decoder, betweenTokensMillis, caution);
            }
        }
    }

    /** Returns the best route, or empty when no pair was compared. */
    Optional<Route> best() {
        if (bestDecoder == null) {
            return Optional.empty();
        }
        Optional<String> prefillEngine =
                Optional.of(bestPrefill.engine().name()).filter(name -> !name.equals(bestDecoder.name()));
        return Optional.of(new Route(
                bestDecoder.name(),
                prefillEngine,
                bestPrefill.cachedTokens(),
                bestFirstTokenMillis,
                bestBetweenTokensMillis));
    }

    /** Keeps the pair when its score is smaller than the best so far. */
    private void compare(PrefillOption prefill, EngineView decoder, double betweenTokensMillis, double caution) {
        boolean alone = prefill.engine().name().equals(decoder.name());
        double transfer = alone ? 0 : transferBetween(prefill.engine(), decoder);
        double firstTokenMillis = prefill.millis() + transfer + betweenTokensMillis;
        double score = costs.score(firstTokenMillis, betweenTokensMillis, request.expectedOutputTokens());
        score += alone ? caution : caution + prefill.cautionMillis();
        if (score < bestScore) {
            bestScore = score;
            bestPrefill = prefill;
            bestDecoder = decoder;
            bestFirstTokenMillis = firstTokenMillis;
            bestBetweenTokensMillis = betweenTokensMillis;
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
