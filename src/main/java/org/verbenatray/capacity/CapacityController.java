package org.verbenatray.capacity;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.capacity.CapacityPlanner.DomainPlan;
import org.verbenatray.catalog.BackendService;
import org.verbenatray.catalog.Catalog;
import org.verbenatray.catalog.ServiceScaling;
import org.verbenatray.duties.DutyOutcome;
import org.verbenatray.duties.ServerOrder;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Orders the servers that are planned for each service, one call at a time, while this instance holds the duty. An
 * order is repeated while fewer servers are there than were ordered, since it may have been lost or its servers may
 * have been taken away. Used on one thread.
 */
public final class CapacityController {
    /** The delay before an order is sent again that was not accepted, or whose servers do not appear. */
    private static final long RETRY_MILLIS = 3_000;

    /** The time between two statements of what is needed; the log keeps the last ones for longer. */
    private static final long STATEMENT_MILLIS = 6_000;

    private static final Logger log = System.getLogger(CapacityController.class.getName());

    private final BackendDirectory directory;

    private final Ticker ticker;

    /** The number of servers that each service needs. */
    private final Map<String, NeededServers> needed = new HashMap<>();

    /** When the needed numbers are stated again, in the log that all instances read. */
    private Deadline nextStatement;

    /** The orders that were sent last, by subject. */
    private final Map<Subject, Sent> sent = new HashMap<>();

    /** Until when reclaimable servers are not offered, by subject. */
    private final Map<Subject, Deadline> notOfferedUntil = new HashMap<>();

    /** Whether an order is under way. */
    private boolean ordering;

    private CapacityController(BackendDirectory directory, Ticker ticker) {
        this.directory = directory;
        this.ticker = ticker;
        this.nextStatement = new Deadline(ticker.nanos());
    }

    /** Creates a controller that has ordered nothing. */
    public static CapacityController create(BackendDirectory directory, Ticker ticker) {
        return new CapacityController(directory, ticker);
    }

    /** Records the servers that are there, whoever holds the duty, so that a new holder knows what is needed. */
    public void observe(Catalog catalog) {
        for (BackendService service : scaledServices(catalog)) {
            int all = directory.usable(service.name()).size();
            int reclaimable = (int) directory.usable(service.name()).stream()
                    .filter(backend -> backend.entry().reclaimable())
                    .count();
            needed(service.name()).record(all - reclaimable, reclaimable, ticker.nanos());
        }
    }

    /** Receives a fact that a holder of the duty has stated. */
    public void onFact(String fact) {
        ServerNeed.parse(fact).ifPresent(need -> needed(need.service()).recordStated(need.servers(), ticker.nanos()));
    }

    /** States the needed numbers now and then, for holders that start later. */
    public void stateNeeds(Catalog catalog, Consumer<String> statement) {
        if (!nextStatement.hasPassed(ticker.nanos())) {
            return;
        }
        nextStatement = Deadline.afterMillis(ticker.nanos(), STATEMENT_MILLIS);
        for (BackendService service : scaledServices(catalog)) {
            OptionalInt servers = needed(service.name()).value();
            if (servers.isPresent()) {
                statement.accept(new ServerNeed(service.name(), servers.getAsInt()).text());
            }
        }
    }

    private NeededServers needed(String service) {
        return needed.computeIfAbsent(service, name -> NeededServers.unknown());
    }

    /** Forgets what was ordered, as another instance has held the duty. */
    public void startAnew() {
        sent.clear();
    }

    /** Sends the order that is due most, if there is one. */
    public void step(Catalog catalog, Function<ServerOrder, CompletableFuture<DutyOutcome>> api) {
        if (ordering) {
            return;
        }
        scaledServices(catalog).stream()
                .flatMap(service -> orders(service).stream())
                .filter(this::isDue)
                .findFirst()
                .ifPresent(order -> send(order, api));
    }

    private static List<BackendService> scaledServices(Catalog catalog) {
        return catalog.services().stream()
                .filter(service -> service.scaling().isPresent())
                .toList();
    }

    /** Returns the orders that the plan of a service calls for: more servers first, then fewer. */
    private List<ServerOrder> orders(BackendService service) {
        ServiceScaling scaling = service.scaling().orElseThrow();
        List<DomainServers> domains = scaling.domainPrices().keySet().stream()
                .sorted()
                .map(domain -> servers(service, scaling, domain))
                .toList();
        NeededServers need = needed(service.name());
        boolean isKnown = need.value().isPresent();
        return CapacityPlanner.plan(scaling, domains, need.atLeast()).stream()
                .flatMap(plan -> ordersOf(service.name(), plan).stream())
                .filter(order -> isKnown || order.reclaimable() && isIncrease(order))
                .sorted(Comparator.comparing(order -> !isIncrease(order)))
                .toList();
    }

    private static List<ServerOrder> ordersOf(String service, DomainPlan plan) {
        return List.of(
                new ServerOrder(service, plan.domain(), true, plan.reclaimable()),
                new ServerOrder(service, plan.domain(), false, plan.permanent()));
    }

    private DomainServers servers(BackendService service, ServiceScaling scaling, String domain) {
        Subject reclaimable = new Subject(service.name(), domain, true);
        Deadline notOffered = notOfferedUntil.get(reclaimable);
        return new DomainServers(
                domain,
                scaling.domainPrices().get(domain),
                count(new Subject(service.name(), domain, false)),
                count(reclaimable),
                notOffered == null || notOffered.hasPassed(ticker.nanos()));
    }

    private int count(Subject subject) {
        return (int) directory.usable(subject.service()).stream()
                .map(Backend::entry)
                .filter(entry ->
                        entry.domain().equals(subject.domain()) && entry.reclaimable() == subject.reclaimable())
                .count();
    }

    private boolean isIncrease(ServerOrder order) {
        return order.count() > count(Subject.of(order));
    }

    /** Returns whether an order differs from the last one, or has had no effect in time. */
    private boolean isDue(ServerOrder order) {
        Sent last = sent.get(Subject.of(order));
        if (last == null) {
            return order.count() != count(Subject.of(order));
        }
        long now = ticker.nanos();
        return last.count() != order.count() && last.outcome() == DutyOutcome.ACCEPTED
                || last.repeatFrom().hasPassed(now) && (last.outcome() != DutyOutcome.ACCEPTED || isIncrease(order));
    }

    private void send(ServerOrder order, Function<ServerOrder, CompletableFuture<DutyOutcome>> api) {
        ordering = true;
        Subject subject = Subject.of(order);
        int present = count(subject);
        api.apply(order).whenComplete((outcome, failure) -> {
            ordering = false;
            Deadline repeatFrom = Deadline.afterMillis(ticker.nanos(), RETRY_MILLIS);
            sent.put(subject, new Sent(order.count(), outcome, repeatFrom));
            if (outcome == DutyOutcome.NOT_AVAILABLE) {
                notOfferedUntil.put(subject, repeatFrom);
            }
            Event.named("servers_ordered")
                    .with("service", order.service())
                    .with("domain", order.domain())
                    .with("reclaimable", order.reclaimable())
                    .with("count", order.count())
                    .with("present", present)
                    .with("needed", needed(order.service()).value().orElse(0))
                    .with("outcome", outcome)
                    .log(log, Level.INFO);
        });
    }

    /**
     * The servers that one order is about.
     *
     * @param service the name of the service
     * @param domain the failure domain
     * @param reclaimable the kind of servers
     */
    private record Subject(String service, String domain, boolean reclaimable) {
        static Subject of(ServerOrder order) {
            return new Subject(order.service(), order.domain(), order.reclaimable());
        }
    }

    /**
     * The order that was sent last.
     *
     * @param count the number of servers
     * @param outcome how it has ended
     * @param repeatFrom when it may be repeated
     */
    private record Sent(int count, DutyOutcome outcome, Deadline repeatFrom) {}
}
