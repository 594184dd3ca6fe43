package org.verbenatray.serving;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.util.Optional;
import org.verbenatray.log.RecordBody.CallAnswer;
import org.verbenatray.once.AtMostOnceResult;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.web.Responses;

/** Sends the results of calls that run at most once to their callers. */
final class AtMostOnceResponses {
    /** The response header that marks the response of an earlier call with the same idempotency key. */
    private static final HttpString REPLAYED_HEADER = new HttpString("Idempotent-Replayed");

    private AtMostOnceResponses() {}

    /** Sends the response of the backend server, the stored response of an earlier call, or a refusal. */
    static void send(HttpServerExchange exchange, AtMostOnceResponse response) {
        AtMostOnceResult result = response.result();
        Optional<CallAnswer> answer = result.answer();
        if (answer.isPresent() && response.ownResponse().isPresent() && !result.stored()) {
            BufferedResponse ownResponse = response.ownResponse().get();
            Responses.sendBytes(exchange, ownResponse.status(), answer.get().contentType(), ownResponse.body());
        } else if (answer.isPresent() && answer.get().body().isPresent()) {
            exchange.getResponseHeaders().put(REPLAYED_HEADER, "true");
            Responses.sendText(
                    exchange,
                    answer.get().status(),
                    answer.get().contentType(),
                    answer.get().body().get());
        } else {
            RefusalResponses.send(exchange, refusal(result));
        }
    }

    /** Returns the refusal for a result without a response to send. */
    static Refusal refusal(AtMostOnceResult result) {
        Optional<Long> retry =
                result.retryAfterMillis() > 0 ? Optional.of(result.retryAfterMillis()) : Optional.empty();
        return switch (result.kind()) {
            case KEY_MISUSED -> Refusal.notRun(RefusalKind.KEY_MISUSED, result.reason());
            case RUNNING -> Refusal.mayHaveRun(RefusalKind.CALL_RUNNING, result.reason(), retry);
            case NOT_RUN -> notRun(result, retry);
            case ANSWERED ->
                new Refusal(RefusalKind.ANSWER_NOT_KEPT, Refusal.Ran.YES, result.reason(), Optional.empty());
            default -> Refusal.mayHaveRun(RefusalKind.SERVER_FAILED, result.reason(), retry);
        };
    }

    /**
     * Returns the refusal of a call that was not sent. It states that the call did not run only if that holds for all
     * requests with its idempotency key, not just for this one.
     */
    private static Refusal notRun(AtMostOnceResult result, Optional<Long> retry) {
        if (result.scope() == AtMostOnceResult.Scope.CALL) {
            return new Refusal(RefusalKind.NO_SERVER, Refusal.Ran.NO, result.reason(), retry);
        }
        String message =
                result.reason() + "; nothing was sent for this request, an earlier one with its key may have run";
        return Refusal.mayHaveRun(RefusalKind.LOG_UNAVAILABLE, message, retry);
    }
}
