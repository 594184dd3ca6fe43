package org.verbenatray.log;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The content of a record; the JSON property {@code kind} names its type. */
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
     * A change of configuration files by an operator.
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
     * A claim of a lease that appears to be free to its author.
     *
     * @param lease the lease's name, which is the failure domain of the engines
     * @param holder the claiming instance
     * @param termMillis the length of a lease term in milliseconds
     */
    record LeaseClaim(String lease, String holder, long termMillis) implements RecordBody {}

    /**
     * A renewal of a lease by its holder.
     *
     * @param lease the lease's name
     * @param holder the holding instance
     * @param fencing the fencing token, which is the offset of the claim
     */
    record LeaseRenewal(String lease, String holder, long fencing) implements RecordBody {}

    /**
     * A release of a lease by its holder.
     *
     * @param lease the lease's name
     * @param holder the holding instance
     * @param fencing the fencing token
     */
    record LeaseRelease(String lease, String holder, long fencing) implements RecordBody {}

    /**
     * The observation that a former holder, which did not release its lease, is no longer on the platform's instance
     * list.
     *
     * @param lease the lease's name
     * @param holder the former holder
     * @param fencing the fencing token of the former holder
     */
    record LeaseHolderGone(String lease, String holder, long fencing) implements RecordBody {}

    /**
     * The intent to send an order to an engine, journalled before the order is sent.
     *
     * @param orderId the id of the order
     * @param lease the lease under which it is sent
     * @param fencing the fencing token of that lease
     * @param engine the engine
     * @param action the action to take, such as {@code role=DECODE} or {@code load=model@version}
     * @param reason the reason, informative only
     */
    record OrderIntent(String orderId, String lease, long fencing, String engine, String action, String reason)
            implements RecordBody {}

    /**
     * The outcome of an order.
     *
     * @param orderId the id of the order
     * @param lease the lease under which the outcome was found
     * @param fencing the fencing token of that lease
     * @param engine the engine
     * @param result the outcome
     */
    record OrderOutcome(String orderId, String lease, long fencing, String engine, OrderResult result)
            implements RecordBody {}

    /** The results of orders. */
    enum OrderResult {
        /** The engine carried out the order. */
        DONE,
        /** The engine refused the order and nothing changed. */
        REFUSED,
        /** The engine's state shows that the order had no effect and cannot have one later. */
        NOT_RUN
    }

    /**
     * The reservation of a call that may run at most once.
     *
     * @param callKey the customer and the hash of the idempotency key, as {@code customer/hash}
     * @param bodyHash the hash of service, method, path and body
     * @param instance the instance that will send the call
     * @param attempt the random id of the attempt
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
     * @param answer the backend server's response, empty when it is unknown whether the call ran
     */
    record CallOutcome(String callKey, String attempt, Optional<CallAnswer> answer) implements RecordBody {}

    /**
     * The response to a call, kept to answer repeated requests.
     *
     * @param status the HTTP status
     * @param contentType the media type
     * @param body the body, empty when it was too large to store
     */
    record CallAnswer(int status, String contentType, Optional<String> body) {}

    /**
     * The release of a reservation whose call was not sent and never will be.
     *
     * @param callKey the key of the call
     * @param attempt the attempt that was abandoned
     */
    record CallRelease(String callKey, String attempt) implements RecordBody {}

    /**
     * A snapshot of the state.
     *
     * @param upTo the first offset that the snapshot does not cover
     * @param hash the SHA-256 of the parts, in hexadecimal
     * @param parts the state of each fold by the fold's name, as JSON or compressed JSON
     */
    record Snapshot(long upTo, String hash, Map<String, String> parts) implements RecordBody {}
}
