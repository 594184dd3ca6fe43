package org.verbenatray.explain;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.time.Timing;

/** The explanations of the last requests of an instance; thread-safe. */
public final class Explanations {
    /** The number of requests that are kept by default. */
    public static final int DEFAULT_REQUESTS = 4_096;

    /** The instance. */
    private final String instance;

    /** Its failure domain. */
    private final String failureDomain;

    /** The sources of time. */
    private final Timing timing;

    /** The traces by request id, the oldest first. */
    private final Map<String, Trace> traces;

    /** Creates an empty store. */
    private Explanations(String instance, String failureDomain, int bound, Timing timing) {
        this.instance = instance;
        this.failureDomain = failureDomain;
        this.timing = timing;
        this.traces = new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Trace> eldest) {
                return size() > bound;
            }
        };
    }

    /** Returns an empty store that keeps the given number of requests. */
    public static Explanations bounded(String instance, String failureDomain, int bound, Timing timing) {
        return new Explanations(instance, failureDomain, bound, timing);
    }

    /** Starts the trace of a request, in place of the oldest one where the store is full. */
    public Trace begin(String request, String customer, String subject, long receivedNanos, long configuration) {
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

    /** Returns what became of a request up to now, empty when it is unknown or no longer kept. */
    public Optional<Explanation> find(String request) {
        synchronized (traces) {
            return Optional.ofNullable(traces.get(request)).map(Trace::explanation);
        }
    }
}
