package org.verbenatray.once;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.verbenatray.log.RecordBody.CallAnswer;
import org.verbenatray.once.AtMostOnceResult.Scope;
import org.verbenatray.time.Timing;

/** Runs a call that has no idempotency key: sends it once, without a reservation in the log. */
final class UnkeyedCall {
    private UnkeyedCall() {}

    /**
     * Sends the call of a request whose deadline has not passed. The returned future never completes exceptionally,
     * and completes by the deadline.
     */
    static CompletableFuture<AtMostOnceResult> run(AtMostOnceRequest request, Sender sender, Timing timing) {
        CompletableFuture<AtMostOnceResult> result = new CompletableFuture<>();
        CompletableFuture<CallAnswer> response;
        try {
            response = sender.send();
        } catch (RuntimeException e) {
            response = CompletableFuture.failedFuture(e);
        }
        response.whenComplete((answer, error) -> result.complete(resultOf(answer, error)));
        timing.scheduler().runAt(request.deadline(), () -> result.complete(mayHaveRun()));
        return result;
    }

    private static AtMostOnceResult resultOf(CallAnswer answer, Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        if (cause instanceof NotSentException) {
            return AtMostOnceResult.notRun(Scope.CALL, 0, "no backend server accepted the call; send it again");
        }
        return error == null && answer != null ? AtMostOnceResult.ownResponse(answer) : mayHaveRun();
    }

    private static AtMostOnceResult mayHaveRun() {
        return AtMostOnceResult.mayHaveRun("the call had no key and no answer came; find out whether it took effect");
    }
}
