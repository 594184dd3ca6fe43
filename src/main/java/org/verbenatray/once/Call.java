package org.verbenatray.once;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Optional;
import org.verbenatray.log.RecordBody.CallAnswer;

/**
 * A reserved call.
 *
 * @param callKey the key of the call
 * @param bodyHash the hash of service, method, path and body
 * @param instance the instance that reserved it
 * @param author the author of the reservation record
 * @param attempt the attempt that may send it
 * @param offset the offset of the reservation
 * @param reservedMillis the time of the fold at the reservation, in milliseconds since the epoch
 * @param issuedMillis the time embedded in the key, empty for an opaque key
 * @param settlement how the call ended, empty while it may be running
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

    /** Returns this call with its end. */
    Call settled(Settlement end) {
        return new Call(
                callKey, bodyHash, instance, author, attempt, offset, reservedMillis, issuedMillis, Optional.of(end));
    }

    /** Returns the customer of the call. */
    @JsonIgnore
    String customer() {
        return callKey.substring(0, Math.max(0, callKey.lastIndexOf('/')));
    }

    /**
     * How a call ended.
     *
     * @param offset the offset of the outcome
     * @param answer the answer, empty when it is unknown whether the call ran
     */
    public record Settlement(long offset, Optional<CallAnswer> answer) {}
}
