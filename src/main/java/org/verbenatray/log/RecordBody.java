package org.verbenatray.log;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The fact that a record states; the JSON property {@code kind} names its type. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = RecordBody.ConfigurationChange.class, name = "configuration-change"),
    @JsonSubTypes.Type(value = RecordBody.LeaseClaim.class, name = "lease-claim"),
    @JsonSubTypes.Type(value = RecordBody.LeaseRenewal.class, name = "lease-renewal"),
    @JsonSubTypes.Type(value = RecordBody.LeaseRelease.class, name = "lease-release"),
    @JsonSubTypes.Type(value = RecordBody.LeaseHolderGone.class, name = "lease-holder-gone"),
    @JsonSubTypes.Type(value = RecordBody.OrderIntent.class, name = "order-intent"),
    @JsonSubTypes.Type(value = RecordBody.OrderOutcome.class, name = "order-outcome"),
    @JsonSubTypes.Type(value = RecordBody.CallReservation.class, name = "call-reservation"),
    @JsonSubTypes.Type(value = RecordBody.CallOutcome.class, name = "call-outcome"),
    @JsonSubTypes.Type(value = RecordBody.CallRelease.class, name = "call-release"),
    @JsonSubTypes.Type(value = RecordBody.Snapshot.class, name = "snapshot")
})
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public sealed interface RecordBody {
    /**
     * An operator's change of configuration files.
     *
     * @param files the changed files by name
     */
    record ConfigurationChange(List<FileChange> files) implements RecordBody {}

    /**
     * The new content of one configuration file.
     *
     * @param name the file name
     * @param content the new content, empty when the file is removed
     * @param seenOffset the offset of the file's last change that the author saw, -1 when it saw no such file
     */
    record FileChange(String name, Optional<String> content, long seenOffset) {}

    /**
     * A claim of a lease that its author believes to be free.
     *
     * @param lease the lease's name, the failure domain of the engines
     * @param holder the claiming instance
     * @param termMillis the length of one term in milliseconds
     */
    record LeaseClaim(String lease, String holder, long termMillis) implements RecordBody {}

    /**
     * A renewal of a lease by its holder.
     *
     * @param lease the lease's name
     * @param holder the holding instance
     * @param fencing the fencing number, which is the offset of the claim
     */
    record LeaseRenewal(String lease, String holder, long fencing) implements RecordBody {}

    /**
     * A release of a lease by its holder.
     *
     * @param lease the lease's name
     * @param holder the holding instance
     * @param fencing the fencing number
     */
    record LeaseRelease(String lease, String holder, long fencing) implements RecordBody {}

    /**
     * The observation that a former holder, which did not release its lease, is gone from the platform's instance list.
     *
     * @param lease the lease's name
     * @param holder the former holder
     * @param fencing the fencing number that the former holder had
     */
    record LeaseHolderGone(String lease, String holder, long fencing) implements RecordBody {}

    /**
     * The intent to send an order to an engine, journalled before the order is sent.
     *
     * @param orderId the id of the order
     * @param lease the lease under which it is sent
     * @param fencing the fencing number of that lease
     * @param engine the engine
     * @param action what the engine has to do, such as {@code role=DECODE} or {@code load=model@version}
     * @param reason why, for people
     */
    record OrderIntent(String orderId, String lease, long fencing, String engine, String action, String reason)
            implements RecordBody {}

    /**
     * The settled outcome of an order.
     *
     * @param orderId the id of the order
     * @param lease the lease under which it was settled
     * @param fencing the fencing number of that lease
     * @param engine the engine
     * @param result the outcome
     */
    record OrderOutcome(String orderId, String lease, long fencing, String engine, OrderResult result)
            implements RecordBody {}

    /** The ways in which an order ends. */
    enum OrderResult {
        /** The engine took the order into effect. */
        DONE,
        /** The engine refused the order and nothing changed. */
        REFUSED,
        /** The engine's state shows that the order had no effect and can have none later. */
        NOT_RUN
    }

    /**
     * The reservation of a call that may run at most once.
     *
     * @param callKey the customer and the hash of its idempotency key, as {@code customer/hash}
     * @param bodyHash the hash of service, method, path and body
     * @param instance the instance that will send the call
     * @param attempt the random id of this attempt
     * @param keyIssuedMillis the time embedded in the key in milliseconds since the epoch, empty for an opaque key
     */
    record CallReservation(
            String callKey, String bodyHash, String instance, String attempt, Optional<Long> keyIssuedMillis)
            implements RecordBody {}

    /**
     * The outcome of a reserved call that was sent.
     *
     * @param callKey the key of the call
     * @param attempt the attempt that was sent
     * @param answer the backend server's answer, empty when it is unknown whether the call ran
     */
    record CallOutcome(String callKey, String attempt, Optional<CallAnswer> answer) implements RecordBody {}

    /**
     * The answer of a call, kept for repeats.
     *
     * @param status the HTTP status
     * @param contentType the media type
     * @param body the body, empty when it was too large to keep
     */
    record CallAnswer(int status, String contentType, Optional<String> body) {}

    /**
     * The release of a reservation whose call was never sent and never will be.
     *
     * @param callKey the key of the call
     * @param attempt the attempt that was abandoned
     */
    record CallRelease(String callKey, String attempt) implements RecordBody {}

    /**
     * A snapshot of the fold.
     *
     * @param upTo the first offset that the snapshot does not cover
     * @param hash the SHA-256 of the parts in hexadecimal
     * @param parts the state of each fold by the fold's name, as JSON or compressed JSON
     */
    record Snapshot(long upTo, String hash, Map<String, String> parts) implements RecordBody {}
}
