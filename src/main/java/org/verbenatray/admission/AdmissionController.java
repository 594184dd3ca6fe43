package org.verbenatray.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Function;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.configuration.FleetConfiguration.CustomerSpec;
import org.verbenatray.configuration.FleetConfiguration.ModelSpec;

/**
 * Decides for each request whether it runs now, waits in a queue or is rejected. It has no threads and no clock: every
 * decision is a function of its state, the arguments and the given time. Thread-safe.
 */
public final class AdmissionController {
    /** The number of waiting requests that one call of {@link #releaseNext} tries to route. */
    private static final int MAX_RELEASE_CANDIDATES = 4;

    private static final double NANOS_PER_MILLI = 1e6;

    private final AdmissionBounds bounds;

    private final Map<String, CustomerAccount> accounts = new HashMap<>();

    private final Map<String, ModelQueue> queuesByModel = new HashMap<>();

    /** Waiting requests that were rejected since the last call of {@link #collectRejected}. */
    private final List<RejectedTicket> uncollectedRejections = new ArrayList<>();

    private FleetConfiguration configuration = FleetConfiguration.empty();

    private SortedSet<Integer> priorities = new TreeSet<>();

    /** The number of instances that share the customers' limits, this one included. */
    private int instanceCount = 1;

    private AdmissionController(AdmissionBounds bounds) {
        this.bounds = bounds;
    }

    /** Returns a controller that rejects every request until it has a configuration. */
    public static AdmissionController create(AdmissionBounds bounds) {
        return new AdmissionController(bounds);
    }

    /**
     * Applies a configuration. Customers and models that remain configured keep their state; removed ones are dropped
     * unless they still have open or waiting requests.
     */
    public synchronized void onConfiguration(FleetConfiguration newConfiguration, long nowNanos) {
        configuration = newConfiguration;
        priorities = prioritiesOf(newConfiguration);
        accounts.entrySet()
                .removeIf(entry -> !newConfiguration.customers().containsKey(entry.getKey())
                        && entry.getValue().openRequests() == 0);
        newConfiguration.models().keySet().forEach(model -> queuesByModel.computeIfAbsent(model, this::newQueue));
        queuesByModel
                .entrySet()
                .removeIf(entry -> !newConfiguration.models().containsKey(entry.getKey())
                        && entry.getValue().queue().size() == 0);
        queuesByModel
                .values()
                .forEach(queue -> queue.onChangeMillis(newConfiguration.roles().changeMillis()));
        configureAccounts(nowNanos);
    }

    /**
     * Sets the number of instances over which the platform's load balancer spreads the requests, this one included.
     * Each instance grants an equal share of the customers' limits.
     */
    public synchronized void onInstanceCount(int newInstances, long nowNanos) {
        instanceCount = Math.max(1, newInstances);
        configureAccounts(nowNanos);
    }

    /** Updates the capacity of the engines that serve a model. */
    public synchronized void onCapacity(String model, ModelCapacity capacity, long nowNanos) {
        Optional.ofNullable(queuesByModel.get(model)).ifPresent(queue -> queue.onCapacity(capacity, nowNanos));
    }

    /** Updates the work of a model that is queued at all other instances. */
    public synchronized void onPeersBacklog(String model, Work backlog) {
        Optional.ofNullable(queuesByModel.get(model)).ifPresent(queue -> queue.onPeersBacklog(backlog, instanceCount));
    }

    /**
     * Returns whether an engine with this estimate accepts one more request of the given priority now.
     *
     * <p>Engines serve higher priorities first, so each priority may fill their queues beyond the limit of the lower
     * ones.
     */
    public synchronized boolean canDispatch(int priority, LatencyEstimate estimate) {
        long lower = priorities.headSet(priority).size();
        return estimate.queueMillis() <= bounds.maxEngineQueueMillis() * (1 + lower);
    }

    /**
     * Admits, queues or rejects a new request.
     *
     * @param estimate the latency estimate of its best route, empty when no engine can accept it at present
     */
    public synchronized AdmissionDecision admit(
            AdmissionRequest request, Optional<LatencyEstimate> estimate, long nowNanos) {
        CustomerAccount account = accounts.get(request.customer());
        ModelQueue model = queuesByModel.get(request.model());
        Optional<AdmissionRejection> rejection = checkLimits(request, account, model, estimate, nowNanos);
        if (rejection.isPresent()) {
            return new AdmissionDecision.Rejected(rejection.get());
        }
        Ticket ticket = Ticket.create(request, nowNanos, model.serviceMillis(request, estimate));
        if (model.queue().size() == 0
                && estimate.filter(candidate -> canDispatch(request.priority(), candidate))
                        .isPresent()) {
            return admitNow(ticket, account, estimate.get(), nowNanos);
        }
        return enqueue(ticket, account, model, nowNanos);
    }

    /**
     * Releases the next waiting request of a model that fits an engine. Callers repeat the call until it returns empty.
     *
     * @param tryRoute returns a route for a request, or empty when no engine can accept it at present
     */
    public synchronized <R> Optional<ReleasedTicket<R>> releaseNext(
            String model, long nowNanos, Function<AdmissionRequest, Optional<R>> tryRoute) {
        ModelQueue queue = queuesByModel.get(model);
        if (queue == null) {
            return Optional.empty();
        }
        List<Ticket> bypassed = new ArrayList<>();
        for (Ticket ticket : releaseCandidates(queue, nowNanos)) {
            Optional<R> route = tryRoute.apply(ticket.request());
            if (route.isPresent()) {
                bypassed.forEach(Ticket::recordBypass);
                queue.queue().release(ticket);
                markAdmitted(ticket, nowNanos);
                return Optional.of(new ReleasedTicket<>(ticket, route.get()));
            }
            if (ticket.bypasses() >= bounds.maxBypasses()) {
                return Optional.empty();
            }
            bypassed.add(ticket);
        }
        return Optional.empty();
    }

    /**
     * Rejects the waiting requests whose deadlines can no longer be met, and returns all waiting requests that were
     * rejected since the last call. The caller sends each of them its response at once.
     */
    public synchronized List<RejectedTicket> collectRejected(long nowNanos) {
        queuesByModel.values().forEach(queue -> rejectUnreachable(queue, nowNanos));
        List<RejectedTicket> rejected = List.copyOf(uncollectedRejections);
        uncollectedRejections.clear();
        return rejected;
    }

    /**
     * Cancels a request that did not run: its caller disconnected while it waited, or its dispatch never started. Does
     * nothing when the ticket is closed.
     */
    public synchronized void cancel(Ticket ticket, long nowNanos) {
        if (ticket.state() == Ticket.State.CLOSED) {
            return;
        }
        Optional.ofNullable(queuesByModel.get(ticket.request().model()))
                .ifPresent(model -> model.queue().remove(ticket));
        ticket.setState(Ticket.State.CLOSED);
        account(ticket).ifPresent(account -> account.cancel(ticket, nowNanos));
    }

    /**
     * Closes a request that ran and generated the given number of tokens. Does nothing unless the ticket is admitted.
     */
    public synchronized void close(Ticket ticket, long outputTokens, long nowNanos) {
        if (ticket.state() != Ticket.State.ADMITTED) {
            return;
        }
        ticket.setState(Ticket.State.CLOSED);
        account(ticket).ifPresent(account -> account.close(ticket, outputTokens, nowNanos));
    }

    /** Returns the number of waiting requests of a model. */
    public synchronized int queuedRequests(String model) {
        return Optional.ofNullable(queuesByModel.get(model))
                .map(queue -> queue.queue().size())
                .orElse(0);
    }

    /** Returns the work of a model that is queued at this instance, which is reported to the other instances. */
    public synchronized Work backlog(String model) {
        return Optional.ofNullable(queuesByModel.get(model))
                .map(queue -> queue.queue().work())
                .orElse(Work.NONE);
    }

    /** Returns the number of open requests of a customer at this instance. */
    public synchronized int openRequests(String customer) {
        return Optional.ofNullable(accounts.get(customer))
                .map(CustomerAccount::openRequests)
                .orElse(0);
    }

    /**
     * Returns the rejection of a request of an unknown customer or model, of one that no KV cache can hold or that
     * exceeds its customer's limits, or of one whose model has no engines.
     */
    private Optional<AdmissionRejection> checkLimits(
            AdmissionRequest request,
            CustomerAccount account,
            ModelQueue model,
            Optional<LatencyEstimate> estimate,
            long nowNanos) {
        if (account == null || !configuration.customers().containsKey(request.customer())) {
            return Optional.of(AdmissionRejection.permanent(
                    RejectionReason.UNKNOWN_CUSTOMER, "no customer " + request.customer() + " is configured"));
        }
        if (model == null || !configuration.models().containsKey(request.model())) {
            return Optional.of(AdmissionRejection.permanent(
                    RejectionReason.UNKNOWN_MODEL, "no model " + request.model() + " is configured"));
        }
        Optional<AdmissionRejection> tooLong = checkLength(request, model, estimate);
        if (tooLong.isPresent()) {
            return tooLong;
        }
        Optional<AdmissionRejection> overAccountLimit = account.checkLimits(nowNanos);
        if (overAccountLimit.isEmpty() && estimate.isEmpty() && model.isUnavailable(nowNanos)) {
            return Optional.of(noEngine(request, model, nowNanos));
        }
        return overAccountLimit;
    }

    /** Returns the rejection of a request that no KV cache can hold. */
    private static Optional<AdmissionRejection> checkLength(
            AdmissionRequest request, ModelQueue model, Optional<LatencyEstimate> estimate) {
        long tokens = (long) request.promptTokens() + request.expectedOutputTokens();
        long largest = model.capacity().largestKvTokens();
        if (estimate.isPresent() || !model.capacity().canServe() || tokens <= largest) {
            return Optional.empty();
        }
        return Optional.of(AdmissionRejection.permanent(
                RejectionReason.TOO_LONG,
                "the request needs " + tokens + " tokens of KV cache, the engines have " + largest));
    }

    /** Admits a request at once, or rejects it when its deadline can't be met. */
    private AdmissionDecision admitNow(
            Ticket ticket, CustomerAccount account, LatencyEstimate estimate, long nowNanos) {
        double total = estimate.totalMillis(ticket.request().expectedOutputTokens());
        double remaining = ModelQueue.remainingMillis(ticket.request().deadline(), nowNanos);
        if (total > remaining) {
            ModelQueue model = queuesByModel.get(ticket.request().model());
            return new AdmissionDecision.Rejected(deadlineUnreachable(ticket, model, total, nowNanos));
        }
        account.open(ticket, nowNanos);
        markAdmitted(ticket, nowNanos);
        return new AdmissionDecision.Admitted(ticket);
    }

    /**
     * Queues a request, or rejects it when its deadline can't be met or the queue is full. A full queue drops the
     * newest request of the customer with the most waiting ones instead, if that customer has at least two more than
     * this one.
     */
    private AdmissionDecision enqueue(Ticket ticket, CustomerAccount account, ModelQueue model, long nowNanos) {
        double wait = model.waitMillis(ticket);
        double total = wait + ticket.serviceMillis();
        if (total > ModelQueue.remainingMillis(ticket.request().deadline(), nowNanos)) {
            return new AdmissionDecision.Rejected(deadlineUnreachable(ticket, model, total, nowNanos));
        }
        int priority = ticket.request().priority();
        if (model.queue().size(priority) >= bounds.maxQueuedPerPriority()) {
            int ownQueued = model.queue().sizeOf(ticket.request().customer(), priority);
            Optional<Ticket> displaced = model.queue().newestOfLargestCustomer(priority, ownQueued + 1);
            if (displaced.isEmpty()) {
                return new AdmissionDecision.Rejected(overloaded(ticket, model, nowNanos));
            }
            reject(displaced.get(), model, overloaded(displaced.get(), model, nowNanos), nowNanos);
        }
        account.open(ticket, nowNanos);
        ticket.setExpectedEndNanos(nowNanos + (long) (total * NANOS_PER_MILLI));
        model.queue().add(ticket);
        return new AdmissionDecision.Queued(ticket, model.queue().size(), wait);
    }

    /** Returns the next requests to route, all of which can still meet their deadlines; rejects those that cannot. */
    private List<Ticket> releaseCandidates(ModelQueue model, long nowNanos) {
        while (true) {
            List<Ticket> tickets = model.queue().releaseOrder(MAX_RELEASE_CANDIDATES);
            List<Ticket> unreachable = tickets.stream()
                    .filter(ticket -> ticket.isDeadlineUnreachable(nowNanos))
                    .toList();
            if (unreachable.isEmpty()) {
                return tickets;
            }
            unreachable.forEach(ticket -> rejectUnreachableTicket(ticket, model, nowNanos));
        }
    }

    /** Rejects the waiting requests whose deadlines can no longer be met. */
    private void rejectUnreachable(ModelQueue model, long nowNanos) {
        for (Ticket ticket : model.withUnreachableDeadline(nowNanos)) {
            rejectUnreachableTicket(ticket, model, nowNanos);
        }
    }

    private void rejectUnreachableTicket(Ticket ticket, ModelQueue model, long nowNanos) {
        model.queue().remove(ticket);
        double total = model.waitMillis(ticket) + ticket.serviceMillis();
        reject(ticket, model, deadlineUnreachable(ticket, model, total, nowNanos), nowNanos);
    }

    private void reject(Ticket ticket, ModelQueue model, AdmissionRejection rejection, long nowNanos) {
        model.queue().remove(ticket);
        ticket.setState(Ticket.State.CLOSED);
        account(ticket).ifPresent(account -> account.cancel(ticket, nowNanos));
        uncollectedRejections.add(new RejectedTicket(ticket, rejection));
    }

    private void markAdmitted(Ticket ticket, long nowNanos) {
        ticket.setState(Ticket.State.ADMITTED);
        ticket.setExpectedEndNanos(nowNanos + (long) (ticket.serviceMillis() * NANOS_PER_MILLI));
    }

    /** Returns the rejection of a request whose response would be complete only after the given time from now. */
    private static AdmissionRejection deadlineUnreachable(
            Ticket ticket, ModelQueue model, double totalMillis, long nowNanos) {
        AdmissionRequest request = ticket.request();
        if (!model.isServed()) {
            return noEngine(request, model, nowNanos);
        }
        double remaining = ModelQueue.remainingMillis(request.deadline(), nowNanos);
        String detail = String.format("the response is expected in %.0f ms and due in %.0f ms", totalMillis, remaining);
        double allowed = ModelQueue.remainingMillis(request.deadline(), ticket.acceptedNanos());
        if (ticket.serviceMillis() > allowed || !Double.isFinite(totalMillis)) {
            return AdmissionRejection.permanent(RejectionReason.DEADLINE_UNREACHABLE, detail);
        }
        double excess = Math.max(0, totalMillis - remaining);
        return AdmissionRejection.retryable(
                RejectionReason.DEADLINE_UNREACHABLE, model.scheduleRetryMillis(request, excess, nowNanos), detail);
    }

    private static AdmissionRejection noEngine(AdmissionRequest request, ModelQueue model, long nowNanos) {
        double millis = model.scheduleRetryMillis(request, model.expectedOutageMillis(), nowNanos);
        String detail = "no engine serves " + request.model() + " at present";
        return AdmissionRejection.retryable(RejectionReason.NO_ENGINE, millis, detail);
    }

    private static AdmissionRejection overloaded(Ticket ticket, ModelQueue model, long nowNanos) {
        AdmissionRequest request = ticket.request();
        double millis = model.scheduleRetryMillis(request, model.meanDrainMillis(), nowNanos);
        String detail = model.queue().size() + " requests wait for " + request.model();
        return AdmissionRejection.retryable(RejectionReason.OVERLOADED, millis, detail);
    }

    private Optional<CustomerAccount> account(Ticket ticket) {
        return Optional.ofNullable(accounts.get(ticket.request().customer()));
    }

    /** Returns the priorities that requests can have: the higher one of the model's and the customer's. */
    private static SortedSet<Integer> prioritiesOf(FleetConfiguration configuration) {
        SortedSet<Integer> found = new TreeSet<>();
        for (ModelSpec model : configuration.models().values()) {
            for (CustomerSpec customer : configuration.customers().values()) {
                found.add(Math.max(model.priority(), customer.priority()));
            }
        }
        return found;
    }

    /** Sets each customer's limits to this instance's share. */
    private void configureAccounts(long nowNanos) {
        configuration
                .customers()
                .forEach((name, spec) -> accounts.computeIfAbsent(
                                name, customer -> CustomerAccount.create(bounds, spec, instanceCount, nowNanos))
                        .configure(spec, instanceCount, nowNanos));
    }

    private ModelQueue newQueue(String model) {
        return ModelQueue.create(customer -> Optional.ofNullable(accounts.get(customer))
                .map(CustomerAccount::weight)
                .orElse(1.0));
    }
}
