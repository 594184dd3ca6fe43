package org.verbenatray.once;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.verbenatray.log.RecordBody.CallAnswer;
import org.verbenatray.once.Call.Settlement;

/**
 * The known calls by key, with limits on their number and on the total size of stored response bodies. Not
 * thread-safe.
 */
final class CallTable {
    private final CallLimits limits;

    private final Map<String, Call> calls = new HashMap<>();

    /** Keys with a known issue time, oldest first. */
    private final TreeSet<TimestampedKey> timestampedKeys = new TreeSet<>(
            Comparator.comparingLong(TimestampedKey::issuedMillis).thenComparing(TimestampedKey::callKey));

    /** Number of timestamped keys by customer. */
    private final Map<String, Integer> timestampedKeyCounts = new HashMap<>();

    /** Number of opaque keys by customer. */
    private final Map<String, Integer> opaqueKeyCounts = new HashMap<>();

    /** Keys of the calls whose response body is stored, by the log offset of the outcome. */
    private final TreeMap<Long, String> callKeysByOutcomeOffset = new TreeMap<>();

    /** Total length of the stored response bodies in characters. */
    private long totalBodyChars;

    /** Creates an empty table with the given limits. */
    CallTable(CallLimits limits) {
        this.limits = limits;
    }

    /** Returns the call that holds a key, if any. */
    Optional<Call> find(String callKey) {
        return Optional.ofNullable(calls.get(callKey));
    }

    /** Returns all calls in no particular order. */
    Collection<Call> all() {
        return calls.values();
    }

    /** Returns the number of calls. */
    int size() {
        return calls.size();
    }

    /** Returns whether the table holds the maximum number of timestamped keys. */
    boolean isFullOfTimestampedKeys() {
        return timestampedKeys.size() >= limits.maxTimestampedKeys();
    }

    /**
     * Returns the earliest issue time of the timestamped keys in milliseconds since the epoch, empty if there is none.
     */
    Optional<Long> oldestIssuedMillis() {
        return timestampedKeys.isEmpty()
                ? Optional.empty()
                : Optional.of(timestampedKeys.first().issuedMillis());
    }

    /** Returns whether the limits allow one more call with the given call's customer and kind of key. */
    boolean hasRoomFor(Call call) {
        if (call.issuedMillis().isPresent()) {
            int own = timestampedKeyCounts.getOrDefault(call.customer(), 0);
            return !isFullOfTimestampedKeys() && own < limits.maxTimestampedKeysPerCustomer();
        }
        int own = opaqueKeyCounts.getOrDefault(call.customer(), 0);
        int opaque = calls.size() - timestampedKeys.size();
        return opaque < limits.maxOpaqueKeys() && own < limits.maxOpaqueKeysPerCustomer();
    }

    /** Adds a call or replaces the one with the same key, then drops the oldest response bodies beyond the limit. */
    void put(Call call) {
        remove(call.callKey());
        calls.put(call.callKey(), call);
        keyCounts(call).merge(call.customer(), 1, Integer::sum);
        call.issuedMillis().ifPresent(at -> timestampedKeys.add(new TimestampedKey(at, call.callKey())));
        call.settlement().ifPresent(end -> countBody(call.callKey(), end));
        while (totalBodyChars > limits.maxTotalBodyChars()) {
            dropOldestBody();
        }
    }

    /** Removes the call with the given key, if any. */
    void remove(String callKey) {
        Call call = calls.remove(callKey);
        if (call == null) {
            return;
        }
        keyCounts(call).computeIfPresent(call.customer(), (customer, count) -> count == 1 ? null : count - 1);
        call.issuedMillis().ifPresent(at -> timestampedKeys.remove(new TimestampedKey(at, callKey)));
        call.settlement().ifPresent(this::uncountBody);
    }

    /** Removes the calls whose keys were issued before the given time, in milliseconds since the epoch. */
    void removeIssuedBefore(long millis) {
        while (!timestampedKeys.isEmpty() && timestampedKeys.first().issuedMillis() < millis) {
            remove(timestampedKeys.first().callKey());
        }
    }

    /** Replaces all calls with the given ones. */
    void replaceAll(List<Call> replacement) {
        calls.clear();
        timestampedKeys.clear();
        timestampedKeyCounts.clear();
        opaqueKeyCounts.clear();
        callKeysByOutcomeOffset.clear();
        totalBodyChars = 0;
        replacement.forEach(this::put);
    }

    private Map<String, Integer> keyCounts(Call call) {
        return call.issuedMillis().isPresent() ? timestampedKeyCounts : opaqueKeyCounts;
    }

    /** Adds a stored body to the total. */
    private void countBody(String callKey, Settlement end) {
        long chars = bodyChars(end);
        if (chars > 0) {
            callKeysByOutcomeOffset.put(end.offset(), callKey);
            totalBodyChars += chars;
        }
    }

    /** Subtracts a stored body from the total. */
    private void uncountBody(Settlement end) {
        if (callKeysByOutcomeOffset.remove(end.offset()) != null) {
            totalBodyChars -= bodyChars(end);
        }
    }

    private static long bodyChars(Settlement end) {
        return end.answer().flatMap(CallAnswer::body).map(String::length).orElse(0);
    }

    /** Drops the oldest stored response body, and keeps the status and content type. */
    private void dropOldestBody() {
        Call call = calls.get(callKeysByOutcomeOffset.firstEntry().getValue());
        Settlement end = call.settlement().orElseThrow();
        uncountBody(end);
        Optional<CallAnswer> status =
                end.answer().map(answer -> new CallAnswer(answer.status(), answer.contentType(), Optional.empty()));
        calls.put(call.callKey(), call.withSettlement(new Settlement(end.offset(), status)));
    }

    /**
     * A key with a known issue time.
     *
     * @param issuedMillis its issue time in milliseconds since the epoch
     * @param callKey the call key
     */
    private record TimestampedKey(long issuedMillis, String callKey) {}
}
