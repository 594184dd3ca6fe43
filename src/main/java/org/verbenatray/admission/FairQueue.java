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
 * Queue of the waiting requests of one model. Of every {@link #ROTATION_PERIOD} releases, all but one follow priority
 * and, within a priority, start-time fair queuing over the customers. The remaining one goes to the oldest request of
 * the next customer in rotation, whatever its priority, so that no request starves. Not thread-safe.
 */
final class FairQueue {
    /** One of this many releases goes by rotation over the customers. */
    static final int ROTATION_PERIOD = 4;

    /** The cost of an output token relative to a prompt token. */
    private static final double OUTPUT_TOKEN_COST = 6;

    private static final Comparator<Ticket> BY_PRIORITY_AND_AGE = Comparator.comparingInt(
                    (Ticket ticket) -> -ticket.request().priority())
            .thenComparingLong(Ticket::acceptedNanos);

    /** Returns the weight of a customer's share. */
    private final ToDoubleFunction<String> weights;

    /** Waiting requests by customer, in the order of the rotation. */
    private final Map<String, Set<Ticket>> waiting = new LinkedHashMap<>();

    /** The virtual finish time of each customer's last released request. */
    private final Map<String, Double> virtualFinishes = new HashMap<>();

    /** The virtual time: the virtual start of the last request released by priority. */
    private double virtualTime;

    /** The number of releases, except those in a rotation turn that went to another request. */
    private long releases;

    private Work work = Work.NONE;

    private FairQueue(ToDoubleFunction<String> weights) {
        this.weights = weights;
    }

    /**
     * Returns an empty queue.
     *
     * @param weights returns the weight of a customer's share
     */
    static FairQueue create(ToDoubleFunction<String> weights) {
        return new FairQueue(weights);
    }

    /** Adds a request. */
    void add(Ticket ticket) {
        waiting.computeIfAbsent(ticket.request().customer(), customer -> new LinkedHashSet<>())
                .add(ticket);
        work = work.plus(ticket.request().work());
    }

    /** Removes a request that is cancelled, rejected or released, and returns whether it was in the queue. */
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

    /**
     * Returns the oldest request of the highest priority of each customer in the order in which they should be released
     * now, at most the given number.
     */
    List<Ticket> releaseOrder(int limit) {
        List<Ticket> heads = heads();
        heads.sort(byPriorityAndVirtualStart());
        if (isRotationTurn() && !heads.isEmpty()) {
            Ticket oldest = oldestOfNextInRotation();
            heads.remove(oldest);
            heads.add(0, oldest);
        }
        return heads.subList(0, Math.min(limit, heads.size()));
    }

    /** Removes a request that is dispatched, and charges it to its customer's share. */
    void release(Ticket ticket) {
        String customer = ticket.request().customer();
        double start = virtualStart(customer);
        virtualFinishes.put(customer, start + virtualDuration(ticket));
        boolean byRotation = isRotationTurn();
        boolean rotated = byRotation && ticket == oldestOfNextInRotation();
        remove(ticket);
        if (rotated) {
            moveToEndOfRotation(customer);
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

    /**
     * Returns the waiting requests and the given new ones in the order in which they are expected to be released.
     *
     * <p>The turns by rotation are not taken into account.
     */
    List<QueuePosition> expectedOrder(List<Ticket> newcomers) {
        Map<String, List<Ticket>> byCustomer = new HashMap<>();
        waiting.forEach((customer, tickets) -> byCustomer.put(customer, new ArrayList<>(tickets)));
        for (Ticket newcomer : newcomers) {
            byCustomer
                    .computeIfAbsent(newcomer.request().customer(), customer -> new ArrayList<>())
                    .add(newcomer);
        }
        List<TaggedTicket> tagged = new ArrayList<>();
        byCustomer.forEach((customer, tickets) -> addTagged(customer, tickets, tagged));
        tagged.sort(Comparator.comparingInt(
                        (TaggedTicket entry) -> -entry.ticket().request().priority())
                .thenComparingDouble(TaggedTicket::virtualStart)
                .thenComparingLong(entry -> entry.ticket().acceptedNanos()));
        return withWorkAhead(tagged);
    }

    /**
     * Returns the newest request of the given priority of the customer with the most waiting requests of that priority,
     * or empty when no customer has more than the given number of them.
     */
    Optional<Ticket> newestOfLargestCustomer(int priority, int threshold) {
        List<Ticket> largest = List.of();
        for (Set<Ticket> tickets : waiting.values()) {
            List<Ticket> samePriority = tickets.stream()
                    .filter(ticket -> ticket.request().priority() == priority)
                    .toList();
            if (samePriority.size() > Math.max(threshold, largest.size())) {
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

    /** Returns the oldest request of the highest priority of each customer. */
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

    private Comparator<Ticket> byPriorityAndVirtualStart() {
        return Comparator.comparingInt((Ticket ticket) -> -ticket.request().priority())
                .thenComparingDouble(
                        (Ticket ticket) -> virtualStart(ticket.request().customer()))
                .thenComparingLong(Ticket::acceptedNanos);
    }

    /** Returns the virtual start time of the customer's next request. */
    private double virtualStart(String customer) {
        return Math.max(virtualTime, virtualFinishes.getOrDefault(customer, 0.0));
    }

    /** Returns the cost of a request divided by the weight of its customer. */
    private double virtualDuration(Ticket ticket) {
        AdmissionRequest request = ticket.request();
        double cost = request.promptTokens() + OUTPUT_TOKEN_COST * request.expectedOutputTokens();
        return Math.max(1, cost) / weights.applyAsDouble(request.customer());
    }

    /** Adds a customer's requests with their virtual start times. */
    private void addTagged(String customer, List<Ticket> tickets, List<TaggedTicket> tagged) {
        tickets.sort(BY_PRIORITY_AND_AGE);
        double start = virtualStart(customer);
        for (Ticket ticket : tickets) {
            tagged.add(new TaggedTicket(ticket, start));
            start += virtualDuration(ticket);
        }
    }

    private static List<QueuePosition> withWorkAhead(List<TaggedTicket> ordered) {
        List<QueuePosition> positions = new ArrayList<>(ordered.size());
        Work ahead = Work.NONE;
        for (TaggedTicket entry : ordered) {
            positions.add(new QueuePosition(entry.ticket(), ahead));
            ahead = ahead.plus(entry.ticket().request().work());
        }
        return positions;
    }

    private boolean isRotationTurn() {
        return releases % ROTATION_PERIOD == ROTATION_PERIOD - 1;
    }

    private Ticket oldestOfNextInRotation() {
        return waiting.values().iterator().next().iterator().next();
    }

    private void moveToEndOfRotation(String customer) {
        Set<Ticket> tickets = waiting.remove(customer);
        if (tickets != null) {
            waiting.put(customer, tickets);
        }
    }

    /**
     * A request and the work that is expected to be released before it.
     *
     * @param ticket the request
     * @param workAhead the work
     */
    record QueuePosition(Ticket ticket, Work workAhead) {}

    /**
     * A request and its virtual start time.
     *
     * @param ticket the request
     * @param virtualStart the virtual start time
     */
    private record TaggedTicket(Ticket ticket, double virtualStart) {}
}
