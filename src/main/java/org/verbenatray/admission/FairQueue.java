package org.verbenatray.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * The waiting requests of one model. Of each {@link #TURNS} releases all but one go by priority and, within a priority,
 * by start-time fair queuing over the customers; the last one goes to the oldest request of the next customer in
 * rotation, whatever its priority. Not thread-safe.
 */
final class FairQueue {
    /** The releases after which one goes by rotation. */
    static final int TURNS = 4;

    /** The cost of an output token against that of a prompt token. */
    private static final double OUTPUT_TOKEN_COST = 6;

    /** The order by falling priority, then by age. */
    private static final Comparator<Ticket> BY_PRIORITY_AND_AGE = Comparator.comparingInt(
                    (Ticket ticket) -> -ticket.request().priority())
            .thenComparingLong(Ticket::acceptedNanos);

    /** The weights of the customers' shares. */
    private final ToDoubleFunction<String> weights;

    /** The waiting requests by customer, the customer whose turn it is first. */
    private final Map<String, Set<Ticket>> waiting = new LinkedHashMap<>();

    /** The virtual time at which the last released request of a customer finishes. */
    private final Map<String, Double> finishes = new HashMap<>();

    /** The virtual time, which is the start of the last request released by priority. */
    private double virtualTime;

    /** The number of releases. */
    private long releases;

    /** The work of all waiting requests. */
    private Work work = Work.NONE;

    /** Creates an empty queue. */
    private FairQueue(ToDoubleFunction<String> weights) {
        this.weights = weights;
    }

    /** Returns an empty queue with the weights of the customers' shares. */
    static FairQueue create(ToDoubleFunction<String> weights) {
        return new FairQueue(weights);
    }

    /** Adds a request. */
    void add(Ticket ticket) {
        waiting.computeIfAbsent(ticket.request().customer(), customer -> new LinkedHashSet<>())
                .add(ticket);
        work = work.plus(ticket.request().work());
    }

    /** Removes a request that is withdrawn, refused or released and returns whether it waited. */
    boolean remove(Ticket ticket) {
        String customer = ticket.request().customer();
        Set<Ticket> tickets = waiting.get(customer);
        if (tickets == null || !tickets.remove(ticket)) {
            return false;
        }
        if (tickets.isEmpty()) {
            waiting.remove(customer);
        }
        work = work.minus(ticket.request().work());
        return true;
    }

    /** Returns the requests in the order in which they should be released now, at most the given number. */
    List<Ticket> order(int limit) {
        List<Ticket> heads = heads();
        heads.sort(byPriorityAndShare());
        if (rotates() && !heads.isEmpty()) {
            Ticket oldest = oldestOfRotation();
            heads.remove(oldest);
            heads.add(0, oldest);
        }
        return heads.subList(0, Math.min(limit, heads.size()));
    }

    /** Removes a request because it is sent, and charges it to its customer's share. */
    void release(Ticket ticket) {
        String customer = ticket.request().customer();
        double start = start(customer);
        finishes.put(customer, start + share(ticket));
        boolean byRotation = rotates();
        boolean rotated = byRotation && ticket == oldestOfRotation();
        remove(ticket);
        if (rotated) {
            moveLast(customer);
        }
        if (!byRotation) {
            virtualTime = Math.max(virtualTime, start);
        }
        if (rotated || !byRotation) {
            releases++;
        }
    }

    /** Returns the number of waiting requests. */
    int size() {
        return waiting.values().stream().mapToInt(Set::size).sum();
    }

    /** Returns the number of waiting requests of a priority. */
    long size(int priority) {
        return waiting.values().stream()
                .flatMap(Set::stream)
                .filter(ticket -> ticket.request().priority() == priority)
                .count();
    }

    /** Returns the work of all waiting requests. */
    Work work() {
        return work;
    }

    /** Returns all waiting requests. */
    List<Ticket> tickets() {
        return waiting.values().stream().flatMap(Set::stream).toList();
    }

    /** Returns the waiting requests and the given ones in the order in which they are expected to be released. */
    List<Place> places(List<Ticket> newcomers) {
        Map<String, List<Ticket>> byCustomer = new HashMap<>();
        waiting.forEach((customer, tickets) -> byCustomer.put(customer, new ArrayList<>(tickets)));
        for (Ticket newcomer : newcomers) {
            byCustomer
                    .computeIfAbsent(newcomer.request().customer(), customer -> new ArrayList<>())
                    .add(newcomer);
        }
        List<Tagged> tagged = new ArrayList<>();
        byCustomer.forEach((customer, tickets) -> tag(customer, tickets, tagged));
        tagged.sort(Comparator.comparingInt(
                        (Tagged entry) -> -entry.ticket().request().priority())
                .thenComparingDouble(Tagged::start)
                .thenComparingLong(entry -> entry.ticket().acceptedNanos()));
        return withWorkAhead(tagged);
    }

    /** Returns the newest request of the customer that has the most waiting ones of the priority, beyond the count. */
    Optional<Ticket> newestOfLargest(int priority, int beyond) {
        List<Ticket> largest = List.of();
        for (Set<Ticket> tickets : waiting.values()) {
            List<Ticket> samePriority = tickets.stream()
                    .filter(ticket -> ticket.request().priority() == priority)
                    .toList();
            if (samePriority.size() > Math.max(beyond, largest.size())) {
                largest = samePriority;
            }
        }
        return largest.isEmpty() ? Optional.empty() : Optional.of(largest.get(largest.size() - 1));
    }

    /** Returns the number of waiting requests of a customer. */
    int sizeOf(String customer) {
        return waiting.getOrDefault(customer, Set.of()).size();
    }

    /** Returns the number of waiting requests of a customer and priority. */
    int sizeOf(String customer, int priority) {
        return (int) waiting.getOrDefault(customer, Set.of()).stream()
                .filter(ticket -> ticket.request().priority() == priority)
                .count();
    }

    /** Returns for each customer the oldest request of its highest priority. */
    private List<Ticket> heads() {
        List<Ticket> heads = new ArrayList<>(waiting.size());
        for (Set<Ticket> tickets : waiting.values()) {
            Ticket head = null;
            for (Ticket ticket : tickets) {
                if (head == null || ticket.request().priority() > head.request().priority()) {
                    head = ticket;
                }
            }
            heads.add(head);
        }
        return heads;
    }

    /** Returns the order by falling priority, then by the virtual start. */
    private Comparator<Ticket> byPriorityAndShare() {
        return Comparator.comparingInt((Ticket ticket) -> -ticket.request().priority())
                .thenComparingDouble((Ticket ticket) -> start(ticket.request().customer()))
                .thenComparingLong(Ticket::acceptedNanos);
    }

    /** Returns the virtual time at which the customer's next request starts. */
    private double start(String customer) {
        return Math.max(virtualTime, finishes.getOrDefault(customer, 0.0));
    }

    /** Returns the virtual time that a request takes. */
    private double share(Ticket ticket) {
        AdmissionRequest request = ticket.request();
        double cost = request.promptTokens() + OUTPUT_TOKEN_COST * request.expectedOutputTokens();
        return Math.max(1, cost) / weights.applyAsDouble(request.customer());
    }

    /** Adds a customer's requests with the virtual times at which they start. */
    private void tag(String customer, List<Ticket> tickets, List<Tagged> tagged) {
        tickets.sort(BY_PRIORITY_AND_AGE);
        double start = start(customer);
        for (Ticket ticket : tickets) {
            tagged.add(new Tagged(ticket, start));
            start += share(ticket);
        }
    }

    /** Adds up the work before each request. */
    private static List<Place> withWorkAhead(List<Tagged> ordered) {
        List<Place> places = new ArrayList<>(ordered.size());
        Work ahead = Work.NONE;
        for (Tagged entry : ordered) {
            places.add(new Place(entry.ticket(), ahead));
            ahead = ahead.plus(entry.ticket().request().work());
        }
        return places;
    }

    /** Returns whether the next release goes by rotation. */
    private boolean rotates() {
        return releases % TURNS == TURNS - 1;
    }

    /** Returns the oldest request of the customer whose turn it is. */
    private Ticket oldestOfRotation() {
        return waiting.values().iterator().next().iterator().next();
    }

    /** Makes the customer the last in the rotation. */
    private void moveLast(String customer) {
        Set<Ticket> tickets = waiting.remove(customer);
        if (tickets != null) {
            waiting.put(customer, tickets);
        }
    }

    /**
     * A request and the work that is released before it.
     *
     * @param ticket the request
     * @param ahead the work
     */
    record Place(Ticket ticket, Work ahead) {}

    /**
     * A request and the virtual time at which it starts.
     *
     * @param ticket the request
     * @param start the virtual time
     */
    private record Tagged(Ticket ticket, double start) {}
}
