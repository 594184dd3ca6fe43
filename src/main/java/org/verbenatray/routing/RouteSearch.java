package org.verbenatray.routing;

import java.util.List;
import java.util.Optional;
import org.verbenatray.fleet.EngineView;

/** Finds the route with the smallest score among prefill and decode engines. Not thread-safe. */
final class RouteSearch {
    private final CostModel costModel;

    private final RouteRequest request;

    private final int kvBytesPerToken;

    private final double sameDomainTransferMillis;

    private final double crossDomainTransferMillis;

    private double bestScore = Double.POSITIVE_INFINITY;

    /** The prefill option of the best route so far, null before the first comparison. */
    private PrefillOption bestPrefill;

    /** The decode option of the best route so far, null before the first comparison. */
    private DecodeOption bestDecode;

    private double bestFirstTokenMillis;

    private RouteSearch(CostModel costModel, RouteRequest request, int kvBytesPerToken) {
        this.costModel = costModel;
        this.request = request;
        this.kvBytesPerToken = kvBytesPerToken;
        this.sameDomainTransferMillis = transferMillis(false);
        this.crossDomainTransferMillis = transferMillis(true);
    }

    /**
     * Returns a search without any engines compared.
     *
     * @param kvBytesPerToken the size of the KV cache of one token in bytes
     */
    static RouteSearch create(CostModel costModel, RouteRequest request, int kvBytesPerToken) {
        return new RouteSearch(costModel, request, kvBytesPerToken);
    }

    /**
     * Compares all pairs of the given engines. A pair of an engine with itself stands for a request that this engine
     * serves alone.
     */
    void scan(List<PrefillOption> prefills, List<EngineView> decoders) {
        for (EngineView decoder : decoders) {
            DecodeOption decode = new DecodeOption(
                    decoder,
                    costModel.betweenTokensMillis(decoder, request.expectedOutputTokens()),
                    costModel.decodeDelayMillis(decoder, request.expectedOutputTokens()),
                    costModel.penaltyMillis(decoder, request.failureDomain()));
            for (PrefillOption prefill : prefills) {
                compare(prefill, decode);
            }
        }
    }

    /** Returns the best route, or empty when no pair was compared. */
    Optional<EngineRoute> best() {
        if (bestDecode == null) {
            return Optional.empty();
        }
        Optional<String> prefillEngine = Optional.of(bestPrefill.engine().name())
                .filter(name -> !name.equals(bestDecode.engine().name()));
        return Optional.of(new EngineRoute(
                bestDecode.engine().name(),
                prefillEngine,
                bestPrefill.cachedTokens(),
                bestFirstTokenMillis,
                bestDecode.betweenTokensMillis()));
    }

    private void compare(PrefillOption prefill, DecodeOption decode) {
        boolean sameEngine = prefill.engine().name().equals(decode.engine().name());
        double firstTokenMillis = prefill.prefillMillis();
        double penalty = decode.penaltyMillis();
        if (!sameEngine) {
            firstTokenMillis += transferBetween(prefill.engine(), decode.engine()) + decode.betweenTokensMillis();
            penalty += prefill.penaltyMillis();
        }
        double otherStreamsDelay = prefill.otherStreamsDelayMillis() + decode.otherStreamsDelayMillis();
        double score = penalty
                + costModel.score(
                        firstTokenMillis,
                        decode.betweenTokensMillis(),
                        request.expectedOutputTokens(),
                        otherStreamsDelay);
        if (score < bestScore) {
            bestScore = score;
            bestPrefill = prefill;
            bestDecode = decode;
            bestFirstTokenMillis = firstTokenMillis;
        }
    }

    private double transferBetween(EngineView prefiller, EngineView decoder) {
        String domain = prefiller.spec().failureDomain();
        return domain.equals(decoder.spec().failureDomain()) ? sameDomainTransferMillis : crossDomainTransferMillis;
    }

    private double transferMillis(boolean crossesDomains) {
        return costModel.transferMillis(request.promptTokens(), kvBytesPerToken, crossesDomains);
    }
}
