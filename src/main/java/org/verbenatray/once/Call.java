package org.verbenatray.once;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Optional;
import org.verbenatray.log.RecordBody.CallAnswer;

/**
 * A call whose idempotency key is reserved in the log, and its outcome once that is known.
 *
 * @param callKey the key of the call
 * @param bodyHash the SHA-256 of service, method, path and body, in hexadecimal
 * @param instance the instance that reserved the key
 * @param author the author of the reservation record
 * @param attempt the id of the only attempt that may send the call
 * @param offset the log offset of the reservation
 * @param reservedMillis the {@link LogClock} time of the reservation, in milliseconds since the epoch
 * @param issuedMillis the time embedded in the key, empty for an opaque key
 * @param settlement the recorded end of the call, empty while it may be running
 */
public record Call(
        String callKey,
        String bodyHash,
        String instance,
        String author,
        String attempt,
        long offset,
        long reservedMillis,
        Optional<Long> issuedMillis,
        Optional<Settlement> settlement) {

    /** Returns a copy of this call with the given settlement. */
    Call withSettlement(Settlement end) {
        return new Call(
                callKey, bodyHash, instance, author, attempt, offset, reservedMillis, issuedMillis, Optional.of(end));
    }

    /** Returns the customer, which is the part of the call key before the last slash. */
    @JsonIgnore
    String customer() {
        return callKey.substring(0, Math.max(0, callKey.lastIndexOf('/')));
    }

    /**
     * The recorded end of a call.
     *
     * @param offset the log offset of the outcome
     * @param answer the response, empty when it is unknown whether the call ran
     */
    public record Settlement(long offset, Optional<CallAnswer> answer) {}
}
