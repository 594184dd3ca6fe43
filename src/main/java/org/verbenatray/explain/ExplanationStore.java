package org.verbenatray.explain;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.time.Timing;

/** Keeps the traces of the last requests of an instance in memory, up to a fixed number; thread-safe. */
public final class ExplanationStore {
    /** The default number of requests kept. */
    public static final int DEFAULT_REQUESTS = 4_096;

    private final String instance;

    private final String failureDomain;

    private final Timing timing;

    /** The traces by request id, the oldest first; guarded by itself. */
    private final Map<String, Trace> traces;

    private ExplanationStore(String instance, String failureDomain, int maxRequests, Timing timing) {
        this.instance = instance;
        this.failureDomain = failureDomain;
        this.timing = timing;
        this.traces = new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Trace> eldest) {
                return size() > maxRequests;
            }
        };
    }

    /** Returns an empty store that keeps up to the given number of requests. */
    public static ExplanationStore bounded(String instance, String failureDomain, int maxRequests, Timing timing) {
        return new ExplanationStore(instance, failureDomain, maxRequests, timing);
    }

    /** Starts the trace of a request and evicts the oldest one if the store is full. */
    public Trace startTrace(String request, String customer, String subject, long receivedNanos, long configuration) {
        Explanation head = new Explanation(
                request,
                instance,
                failureDomain,
                customer,
                subject,
                timing.clock().millis(),
                configuration,
                List.of(),
                0);
        Trace trace = Trace.create(head, receivedNanos, timing.ticker());
        synchronized (traces) {
            traces.put(request, trace);
        }
        return trace;
    }

    /** Returns the current explanation of a request, empty if it is unknown or was evicted. */
    public Optional<Explanation> find(String request) {
        synchronized (traces) {
            return Optional.ofNullable(traces.get(request)).map(Trace::explanation);
        }
    }
}
