package org.verbenatray.once;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.verbenatray.log.RecordBody.CallAnswer;
import org.verbenatray.once.OnceResult.Scope;
import org.verbenatray.time.Timing;

/** Runs a call without a key: once, without the log. */
final class UnkeyedCall {
    /** Prevents instances. */
    private UnkeyedCall() {}

    /** Sends the call of a request whose deadline has not passed. */
    static CompletableFuture<OnceResult> run(OnceRequest request, Sender sender, Timing timing) {
        CompletableFuture<OnceResult> result = new CompletableFuture<>();
        CompletableFuture<CallAnswer> answered;
        try {
            answered = sender.send();
        } catch (RuntimeException e) {
            answered = CompletableFuture.failedFuture(e);
        }
        answered.whenComplete((answer, error) -> result.complete(resultOf(answer, error)));
        timing.scheduler().runAt(request.deadline(), () -> result.complete(unknown()));
        return result;
    }

    /** Returns the result of a call that ended. */
    private static OnceResult resultOf(CallAnswer answer, Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        if (cause instanceof NotSentException) {
            return OnceResult.notRun(Scope.CALL, 0, "no backend server took the call; send it again");
        }
        return error == null && answer != null ? OnceResult.fresh(answer) : unknown();
    }

    /** Returns that nobody knows whether the call ran. */
    private static OnceResult unknown() {
        return OnceResult.mayHaveRun("the call had no key and no answer came; find out whether it took effect");
    }
}
