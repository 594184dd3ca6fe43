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

/** The remembered calls by key, with bounds on their number and on the answers kept. */
final class CallTable {
    /** The bounds. */
    private final CallLimits limits;

    /** The calls by key. */
    private final Map<String, Call> calls = new HashMap<>();

    /** The keys of known age, the oldest first. */
    private final TreeSet<IssuedKey> timed =
            new TreeSet<>(Comparator.comparingLong(IssuedKey::issuedMillis).thenComparing(IssuedKey::callKey));

    /** The numbers of keys of known age by customer. */
    private final Map<String, Integer> timedByCustomer = new HashMap<>();

    /** The numbers of opaque keys by customer. */
    private final Map<String, Integer> opaqueByCustomer = new HashMap<>();

    /** The keys of the calls whose answer body is kept, by the offset of the outcome. */
    private final TreeMap<Long, String> bodies = new TreeMap<>();

    /** The characters of all kept bodies. */
    private long keptChars;

    /** Creates an empty table. */
    CallTable(CallLimits limits) {
        this.limits = limits;
    }

    /** Returns the call that holds a key. */
    Optional<Call> find(String callKey) {
        return Optional.ofNullable(calls.get(callKey));
    }

    /** Returns all calls. */
    Collection<Call> all() {
        return calls.values();
    }

    /** Returns the number of calls. */
    int size() {
        return calls.size();
    }

    /** Returns whether no more keys of known age fit. */
    boolean isTimedFull() {
        return timed.size() >= limits.maxTimed();
    }

    /** Returns the issue time of the oldest key of known age. */
    Optional<Long> oldestIssuedMillis() {
        return timed.isEmpty() ? Optional.empty() : Optional.of(timed.first().issuedMillis());
    }

    /** Returns whether a further call fits. */
    boolean hasRoomFor(Call call) {
        if (call.issuedMillis().isPresent()) {
            int own = timedByCustomer.getOrDefault(call.customer(), 0);
            return !isTimedFull() && own < limits.maxTimedPerCustomer();
        }
        int own = opaqueByCustomer.getOrDefault(call.customer(), 0);
        int opaque = calls.size() - timed.size();
        return opaque < limits.maxOpaque() && own < limits.maxOpaquePerCustomer();
    }

    /** Adds a call or replaces the one with its key, and drops the oldest answer bodies beyond the bound. */
    void put(Call call) {
        remove(call.callKey());
        calls.put(call.callKey(), call);
        counts(call).merge(call.customer(), 1, Integer::sum);
        call.issuedMillis().ifPresent(at -> timed.add(new IssuedKey(at, call.callKey())));
        call.settlement().ifPresent(end -> addBody(call.callKey(), end));
        while (keptChars > limits.maxKeptChars()) {
            dropOldestBody();
        }
    }

    /** Removes the call with a key. */
    void remove(String callKey) {
        Call call = calls.remove(callKey);
        if (call == null) {
            return;
        }
        counts(call).computeIfPresent(call.customer(), (customer, count) -> count == 1 ? null : count - 1);
        call.issuedMillis().ifPresent(at -> timed.remove(new IssuedKey(at, callKey)));
        call.settlement().ifPresent(this::removeBody);
    }

    /** Removes the keys of known age that were issued before the given time. */
    void forgetIssuedBefore(long millis) {
        while (!timed.isEmpty() && timed.first().issuedMillis() < millis) {
            remove(timed.first().callKey());
        }
    }

    /** Replaces all calls. */
    void replaceAll(List<Call> replacement) {
        calls.clear();
        timed.clear();
        timedByCustomer.clear();
        opaqueByCustomer.clear();
        bodies.clear();
        keptChars = 0;
        replacement.forEach(this::put);
    }

    /** Returns the counts that a call belongs to. */
    private Map<String, Integer> counts(Call call) {
        return call.issuedMillis().isPresent() ? timedByCustomer : opaqueByCustomer;
    }

    /** Counts a kept body. */
    private void addBody(String callKey, Settlement end) {
        long chars = bodyChars(end);
        if (chars > 0) {
            bodies.put(end.offset(), callKey);
            keptChars += chars;
        }
    }

    /** Stops counting a kept body. */
    private void removeBody(Settlement end) {
        if (bodies.remove(end.offset()) != null) {
            keptChars -= bodyChars(end);
        }
    }

    /** Returns the characters of the body of an answer. */
    private static long bodyChars(Settlement end) {
        return end.answer().flatMap(CallAnswer::body).map(String::length).orElse(0);
    }

    /** Drops the answer body that was kept for the longest. */
    private void dropOldestBody() {
        Call call = calls.get(bodies.firstEntry().getValue());
        Settlement end = call.settlement().orElseThrow();
        removeBody(end);
        Optional<CallAnswer> status =
                end.answer().map(answer -> new CallAnswer(answer.status(), answer.contentType(), Optional.empty()));
        calls.put(call.callKey(), call.settled(new Settlement(end.offset(), status)));
    }

    /**
     * A key of known age.
     *
     * @param issuedMillis its issue time in milliseconds since the epoch
     * @param callKey the key
     */
    private record IssuedKey(long issuedMillis, String callKey) {}
}
