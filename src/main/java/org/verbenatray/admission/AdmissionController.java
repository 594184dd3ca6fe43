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
 * Decides which requests run now, wait or are refused. It holds no threads and no clock; every decision is a function
 * of its state, the arguments and the given time. Thread-safe.
 */
public final class AdmissionController {
    /** The waiting requests that are tried in one call for a release. */
    private static final int MAX_TRIES = 4;

    /** Nanoseconds in one millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The bounds of admission. */
    private final AdmissionBounds bounds;

    /** The customers by name. */
    private final Map<String, CustomerAccount> accounts = new HashMap<>();

    /** The waiting requests by model. */
    private final Map<String, ModelQueue> models = new HashMap<>();

    /** The waiting requests that were given up since they were last collected. */
    private final List<RefusedTicket> givenUp = new ArrayList<>();

    /** The configuration in force. */
    private FleetConfiguration configuration = FleetConfiguration.empty();

    /** The priorities that requests can have. */
    private SortedSet<Integer> priorities = new TreeSet<>();

    /** The number of instances that share the customers' limits. */
    private int instances = 1;

    /** Creates a controller without customers and models. */
    private AdmissionController(AdmissionBounds bounds) {
        this.bounds = bounds;
    }

    /** Returns a controller that refuses everything until it has a configuration. */
    public static AdmissionController create(AdmissionBounds bounds) {
        return new AdmissionController(bounds);
    }

    /** Takes over a configuration; customers and models that stay keep their state. */
    public synchronized void onConfiguration(FleetConfiguration newConfiguration, long nowNanos) {
        configuration = newConfiguration;
        priorities = prioritiesOf(newConfiguration);
        accounts.entrySet()
                .removeIf(entry -> !newConfiguration.customers().containsKey(entry.getKey())
                        && entry.getValue().openRequests() == 0);
        newConfiguration.models().keySet().forEach(model -> models.computeIfAbsent(model, this::newQueue));
        models.entrySet()
                .removeIf(entry -> !newConfiguration.models().containsKey(entry.getKey())
                        && entry.getValue().queue().size() == 0);
        models.values()
                .forEach(queue -> queue.onChangeMillis(newConfiguration.roles().changeMillis()));
        configureAccounts(nowNanos);
    }

    /** Takes over the number of instances over which the platform's balancer spreads the callers, this one included. */
    public synchronized void onInstances(int newInstances, long nowNanos) {
        instances = Math.max(1, newInstances);
        configureAccounts(nowNanos);
    }

    /** Takes over the capacity of the engines of a model. */
    public synchronized void onCapacity(String model, ModelCapacity capacity, long nowNanos) {
        Optional.ofNullable(models.get(model)).ifPresent(queue -> queue.onCapacity(capacity, nowNanos));
    }

    /** Takes over the work of a model that waits at all other instances. */
    public synchronized void onPeersBacklog(String model, Work backlog) {
        Optional.ofNullable(models.get(model)).ifPresent(queue -> queue.peers(backlog, instances));
    }

    /**
     * Returns whether an engine with this expectation takes one more request of the given priority now.
     *
     * <p>Engines serve the higher priority first, so each priority may fill their queues beyond what lower ones may.
     */
    public synchronized boolean dispatchable(int priority, Expectation expectation) {
        long lower = priorities.headSet(priority).size();
        return expectation.queueMillis() <= bounds.maxEngineQueueMillis() * (1 + lower);
    }

    /**
     * Decides on a new request.
     *
     * @param expectation what its best route promises, empty when no engine can take it at present
     */
    public synchronized Admission admit(AdmissionRequest request, Optional<Expectation> expectation, long nowNanos) {
        CustomerAccount account = accounts.get(request.customer());
        ModelQueue model = models.get(request.model());
        Optional<Refusal> refusal = refusalByLimits(request, account, model, expectation, nowNanos);
        if (refusal.isPresent()) {
            return new Admission.Refused(refusal.get());
        }
        Ticket ticket = Ticket.create(request, nowNanos, model.serviceMillis(request, expectation));
        if (model.queue().size() == 0
                && expectation
                        .filter(promise -> dispatchable(request.priority(), promise))
                        .isPresent()) {
            return admitNow(ticket, account, expectation.get(), nowNanos);
        }
        return enqueue(ticket, account, model, nowNanos);
    }

    /**
     * Releases the next waiting request of a model that fits an engine; called again until it returns empty.
     *
     * @param tryRoute returns a route for a request, empty when no engine can take it at present
     */
    public synchronized <R> Optional<Release<R>> next(
            String model, long nowNanos, Function<AdmissionRequest, Optional<R>> tryRoute) {
        ModelQueue queue = models.get(model);
        if (queue == null) {
            return Optional.empty();
        }
        List<Ticket> passed = new ArrayList<>();
        for (Ticket ticket : nextTickets(queue, nowNanos)) {
            Optional<R> route = tryRoute.apply(ticket.request());
            if (route.isPresent()) {
                passed.forEach(Ticket::passed);
                queue.queue().release(ticket);
                start(ticket, nowNanos);
                return Optional.of(new Release<>(ticket, route.get()));
            }
            if (ticket.passes() >= bounds.maxPasses()) {
                return Optional.empty();
            }
            passed.add(ticket);
        }
        return Optional.empty();
    }

    /** Returns the waiting requests that were given up since the last call; each caller gets its answer at once. */
    public synchronized List<RefusedTicket> giveUp(long nowNanos) {
        models.values().forEach(queue -> giveUpHopeless(queue, nowNanos));
        List<RefusedTicket> refused = List.copyOf(givenUp);
        givenUp.clear();
        return refused;
    }

    /** Withdraws a request that was not run: it waits and its caller left, or its dispatch never started. */
    public synchronized void cancel(Ticket ticket, long nowNanos) {
        if (ticket.state() == Ticket.State.CLOSED) {
            return;
        }
        Optional.ofNullable(models.get(ticket.request().model()))
                .ifPresent(model -> model.queue().remove(ticket));
        ticket.state(Ticket.State.CLOSED);
        account(ticket).ifPresent(account -> account.withdraw(ticket, nowNanos));
    }

    /** Closes a request that ran and generated the given number of tokens. */
    public synchronized void close(Ticket ticket, long outputTokens, long nowNanos) {
        if (ticket.state() != Ticket.State.ADMITTED) {
            return;
        }
        ticket.state(Ticket.State.CLOSED);
        account(ticket).ifPresent(account -> account.close(ticket, outputTokens, nowNanos));
    }

    /** Returns the number of waiting requests of a model. */
    public synchronized int queued(String model) {
        return Optional.ofNullable(models.get(model))
                .map(queue -> queue.queue().size())
                .orElse(0);
    }

    /** Returns the work of a model that waits here, for the peers. */
    public synchronized Work backlog(String model) {
        return Optional.ofNullable(models.get(model))
                .map(queue -> queue.queue().work())
                .orElse(Work.NONE);
    }

    /** Returns the number of open requests of a customer at this instance. */
    public synchronized int openRequests(String customer) {
        return Optional.ofNullable(accounts.get(customer))
                .map(CustomerAccount::openRequests)
                .orElse(0);
    }

    /** Returns the refusal of a request that is beyond what is configured or served. */
    private Optional<Refusal> refusalByLimits(
            AdmissionRequest request,
            CustomerAccount account,
            ModelQueue model,
            Optional<Expectation> expectation,
            long nowNanos) {
        if (account == null || !configuration.customers().containsKey(request.customer())) {
            return Optional.of(Refusal.lasting(
                    RefusalKind.UNKNOWN_CUSTOMER, "no customer " + request.customer() + " is configured"));
        }
        if (model == null || !configuration.models().containsKey(request.model())) {
            return Optional.of(
                    Refusal.lasting(RefusalKind.UNKNOWN_MODEL, "no model " + request.model() + " is configured"));
        }
        Optional<Refusal> tooLong = tooLong(request, model, expectation);
        if (tooLong.isPresent()) {
            return tooLong;
        }
        Optional<Refusal> ofAccount = account.refusal(nowNanos);
        if (ofAccount.isEmpty() && expectation.isEmpty() && model.abandoned(nowNanos)) {
            return Optional.of(noEngine(request, model, nowNanos));
        }
        return ofAccount;
    }

    /** Returns the refusal of a request that no KV cache can hold. */
    private static Optional<Refusal> tooLong(
            AdmissionRequest request, ModelQueue model, Optional<Expectation> expectation) {
        long tokens = (long) request.promptTokens() + request.expectedOutputTokens();
        long largest = model.capacity().largestKvTokens();
        if (expectation.isPresent() || !model.capacity().serves() || tokens <= largest) {
            return Optional.empty();
        }
        return Optional.of(Refusal.lasting(
                RefusalKind.TOO_LONG,
                "the request needs " + tokens + " tokens of KV cache, the engines have " + largest));
    }

    /** Admits a request at once unless its deadline can't be met. */
    private Admission admitNow(Ticket ticket, CustomerAccount account, Expectation expectation, long nowNanos) {
        double total = expectation.totalMillis(ticket.request().expectedOutputTokens());
        double remaining = ModelQueue.remainingMillis(ticket.request().deadline(), nowNanos);
        if (total > remaining) {
            ModelQueue model = models.get(ticket.request().model());
            return new Admission.Refused(unreachable(ticket, model, total, nowNanos));
        }
        account.open(ticket, nowNanos);
        start(ticket, nowNanos);
        return new Admission.Admitted(ticket);
    }

    /** Lets a request wait unless its deadline can't be met or the queue is full. */
    private Admission enqueue(Ticket ticket, CustomerAccount account, ModelQueue model, long nowNanos) {
        double wait = model.waitMillis(ticket);
        double total = wait + ticket.serviceMillis();
        if (total > ModelQueue.remainingMillis(ticket.request().deadline(), nowNanos)) {
            return new Admission.Refused(unreachable(ticket, model, total, nowNanos));
        }
        int priority = ticket.request().priority();
        if (model.queue().size(priority) >= bounds.maxQueuedPerPriority()) {
            int own = model.queue().sizeOf(ticket.request().customer(), priority);
            Optional<Ticket> displaced = model.queue().newestOfLargest(priority, own + 1);
            if (displaced.isEmpty()) {
                return new Admission.Refused(overloaded(ticket, model, nowNanos));
            }
            refuse(displaced.get(), model, overloaded(displaced.get(), model, nowNanos), nowNanos);
        }
        account.open(ticket, nowNanos);
        ticket.expectedEndNanos(nowNanos + (long) (total * NANOS_PER_MILLI));
        model.queue().add(ticket);
        return new Admission.Queued(ticket, model.queue().size(), wait);
    }

    /** Returns the requests to try now, all of which can still meet their deadlines. */
    private List<Ticket> nextTickets(ModelQueue model, long nowNanos) {
        while (true) {
            List<Ticket> tickets = model.queue().order(MAX_TRIES);
            List<Ticket> hopeless =
                    tickets.stream().filter(ticket -> ticket.hopeless(nowNanos)).toList();
            if (hopeless.isEmpty()) {
                return tickets;
            }
            hopeless.forEach(ticket -> giveUpOne(ticket, model, nowNanos));
        }
    }

    /** Gives up the waiting requests whose deadlines can no longer be met. */
    private void giveUpHopeless(ModelQueue model, long nowNanos) {
        for (Ticket ticket : model.hopeless(nowNanos)) {
            giveUpOne(ticket, model, nowNanos);
        }
    }

    /** Gives up a waiting request whose deadline can no longer be met. */
    private void giveUpOne(Ticket ticket, ModelQueue model, long nowNanos) {
        model.queue().remove(ticket);
        double total = model.waitMillis(ticket) + ticket.serviceMillis();
        refuse(ticket, model, unreachable(ticket, model, total, nowNanos), nowNanos);
    }

    /** Gives up a waiting request. */
    private void refuse(Ticket ticket, ModelQueue model, Refusal refusal, long nowNanos) {
        model.queue().remove(ticket);
        ticket.state(Ticket.State.CLOSED);
        account(ticket).ifPresent(account -> account.withdraw(ticket, nowNanos));
        givenUp.add(new RefusedTicket(ticket, refusal));
    }

    /** Notes that a request is sent. */
    private void start(Ticket ticket, long nowNanos) {
        ticket.state(Ticket.State.ADMITTED);
        ticket.expectedEndNanos(nowNanos + (long) (ticket.serviceMillis() * NANOS_PER_MILLI));
    }

    /** Returns the refusal of a request whose answer would take the given time from now. */
    private static Refusal unreachable(Ticket ticket, ModelQueue model, double totalMillis, long nowNanos) {
        AdmissionRequest request = ticket.request();
        if (!model.served()) {
            return noEngine(request, model, nowNanos);
        }
        double remaining = ModelQueue.remainingMillis(request.deadline(), nowNanos);
        String reason = String.format("the answer is expected in %.0f ms and due in %.0f ms", totalMillis, remaining);
        double allowed = ModelQueue.remainingMillis(request.deadline(), ticket.acceptedNanos());
        if (ticket.serviceMillis() > allowed || !Double.isFinite(totalMillis)) {
            return Refusal.lasting(RefusalKind.DEADLINE_UNREACHABLE, reason);
        }
        double excess = Math.max(0, totalMillis - remaining);
        return Refusal.comeBack(
                RefusalKind.DEADLINE_UNREACHABLE, model.returnMillis(request, excess, nowNanos), reason);
    }

    /** Returns the refusal of a request for whose model no engine is in service. */
    private static Refusal noEngine(AdmissionRequest request, ModelQueue model, long nowNanos) {
        double millis = model.returnMillis(request, model.outageMillis(), nowNanos);
        String reason = "no engine serves " + request.model() + " at present";
        return Refusal.comeBack(RefusalKind.NO_ENGINE, millis, reason);
    }

    /** Returns the refusal of a request for which the queue has no room. */
    private static Refusal overloaded(Ticket ticket, ModelQueue model, long nowNanos) {
        AdmissionRequest request = ticket.request();
        double millis = model.returnMillis(request, model.meanDrainMillis(), nowNanos);
        String reason = model.queue().size() + " requests wait for " + request.model();
        return Refusal.comeBack(RefusalKind.OVERLOADED, millis, reason);
    }

    /** Returns the account of a ticket's customer. */
    private Optional<CustomerAccount> account(Ticket ticket) {
        return Optional.ofNullable(accounts.get(ticket.request().customer()));
    }

    /** Returns the priorities that requests can have: the higher one of model and customer. */
    private static SortedSet<Integer> prioritiesOf(FleetConfiguration configuration) {
        SortedSet<Integer> found = new TreeSet<>();
        for (ModelSpec model : configuration.models().values()) {
            for (CustomerSpec customer : configuration.customers().values()) {
                found.add(Math.max(model.priority(), customer.priority()));
            }
        }
        return found;
    }

    /** Applies the customers' limits for the number of instances. */
    private void configureAccounts(long nowNanos) {
        configuration
                .customers()
                .forEach((name, spec) -> accounts.computeIfAbsent(
                                name, customer -> CustomerAccount.create(bounds, spec, instances, nowNanos))
                        .configure(spec, instances, nowNanos));
    }

    /** Returns an empty queue for a model. */
    private ModelQueue newQueue(String model) {
        return ModelQueue.create(customer -> Optional.ofNullable(accounts.get(customer))
                .map(CustomerAccount::weight)
                .orElse(1.0));
    }
}
