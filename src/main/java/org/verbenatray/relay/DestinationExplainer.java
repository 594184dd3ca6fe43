package org.verbenatray.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.catalog.Catalog;
import org.verbenatray.catalog.Customer;
import org.verbenatray.catalog.Route;
import org.verbenatray.catalog.RouteKind;
import org.verbenatray.catalog.WeightedService;
import org.verbenatray.placement.EnginePlanner.RatedPlan;
import org.verbenatray.placement.PrefillPlan;
import org.verbenatray.placement.PromptShape;
import org.verbenatray.scheduling.PromptDecision;
import org.verbenatray.scheduling.PromptRequest;
import org.verbenatray.scheduling.PromptScheduler;
import org.verbenatray.telemetry.Event;

/**
 * Explains where a request would be sent now, and why, by what this instance knows. Sends nothing and records nothing,
 * so asking changes no later decision. Used on one thread.
 */
public final class DestinationExplainer {
    private final RelayContext context;

    /** Returns the other instance that would place a prompt; empty if this one would. */
    private final BiFunction<PromptRequest, List<Backend>, Optional<String>> schedulerOf;

    private DestinationExplainer(
            RelayContext context, BiFunction<PromptRequest, List<Backend>, Optional<String>> schedulerOf) {
        this.context = context;
        this.schedulerOf = schedulerOf;
    }

    /**
     * Creates an explainer.
     *
     * @param context what the calls of the relay share
     * @param schedulerOf returns the instance that is asked to place a prompt; empty if this one places it unasked
     */
    public static DestinationExplainer create(
            RelayContext context, BiFunction<PromptRequest, List<Backend>, Optional<String>> schedulerOf) {
        return new DestinationExplainer(context, schedulerOf);
    }

    /**
     * Returns one line of key=value pairs for the route, for each server of its services, and for the destination; or
     * one line that says why the request would be refused.
     */
    public List<String> explain(DestinationQuestion question) {
        return events(question).stream().map(Event::toString).toList();
    }

    private List<Event> events(DestinationQuestion question) {
        Optional<Catalog> catalog = context.catalog().get();
        if (catalog.isEmpty()) {
            return List.of(refused(503, "no routes are known yet"));
        }
        Optional<Route> route = catalog.get().match(question.host(), question.path());
        if (route.isEmpty()) {
            return List.of(refused(404, "no route matches this host and path"));
        }
        Optional<Customer> customer = question.customer().flatMap(catalog.get().customers()::named);
        boolean needsCustomer =
                catalog.get().customers().required() && !route.get().openToAll();
        if (needsCustomer && customer.isEmpty()) {
            return List.of(refused(401, "the route needs a key, and the catalog has no such customer"));
        }
        List<Event> events = new ArrayList<>();
        events.add(routeEvent(catalog.get(), route.get()));
        for (WeightedService weighted : route.get().services()) {
            explainService(question, route.get(), weighted.service(), events);
        }
        return events;
    }

    private void explainService(DestinationQuestion question, Route route, String service, List<Event> events) {
        List<Backend> usable = CallServers.of(context, service).usable();
        if (route.kind() == RouteKind.STREAMING && question.prompt().isPresent()) {
            explainPrompt(question, route, service, usable, events);
        } else if (route.kind() == RouteKind.STREAMING) {
            addServers(service, usable, backend -> Optional.empty(), events);
            Optional<Backend> chosen = context.planner().chooseDecodeEngine(Optional.empty(), usable, List.of());
            events.add(destination(service, chosen, "the least loaded engine that generates output"));
        } else {
            explainPlain(service, usable, events);
        }
    }

    private void explainPlain(String service, List<Backend> usable, List<Event> events) {
        long now = context.ticker().nanos();
        List<Backend> candidates = usable.stream()
                .filter(backend -> backend.entry().stage() != BackendStage.PREFILL && !backend.unreachable())
                .toList();
        Map<Backend, Double> costs = candidates.stream()
                .collect(Collectors.toMap(
                        Function.identity(), backend -> context.chooser().cost(backend, now)));
        addServers(
                service,
                usable,
                backend -> Optional.ofNullable(costs.get(backend))
                        .map(cost -> event -> event.with("cost_requests", decimal(cost))),
                events);
        Optional<Backend> chosen = costs.entrySet().stream()
                .min(Comparator.comparingDouble(Map.Entry::getValue))
                .map(Map.Entry::getKey);
        events.add(destination(service, chosen, "the lowest cost in open requests"));
    }

    private void explainPrompt(
            DestinationQuestion question, Route route, String service, List<Backend> usable, List<Event> events) {
        PromptShape prompt = question.prompt().orElseThrow();
        PromptRequest request = new PromptRequest(
                prompt,
                route.latencyTargetMillis(),
                0,
                0,
                Math.min(route.timeoutMillis(), route.estimatedCallerTimeoutMillis()),
                true,
                question.customer());
        Map<Backend, RatedPlan> rated = context.planner().ratePrefill(prompt, usable, List.of(), false).stream()
                .collect(Collectors.toMap(RatedPlan::engine, Function.identity()));
        addServers(
                service,
                usable,
                backend -> Optional.ofNullable(rated.get(backend)).map(plan -> event -> addPlan(event, plan)),
                events);
        PromptDecision decision = PromptScheduler.create(context.planner()).preview(request, usable);
        PrefillPlan plan = decision.plan();
        boolean isDeferred = plan.work().deferred();
        Event event = destination(service, plan.engine(), why(decision, isDeferred))
                .with("deferred", isDeferred)
                .with("wait_ms", Math.round(plan.expectedWaitMillis()))
                .with("first_token_ms", Math.round(plan.expectedFirstTokenMillis()))
                .with("target_ms", route.latencyTargetMillis());
        schedulerOf.apply(request, usable).ifPresent(scheduler -> event.with("placed_by", scheduler));
        events.add(event);
    }

    private static String why(PromptDecision decision, boolean isDeferred) {
        if (decision.retryAfterMillis().isPresent()) {
            return "refused, as it would come too late; retry after "
                    + decision.retryAfterMillis().getAsLong() + " ms";
        }
        return isDeferred
                ? "it can't be on time, so it runs when no other prompt waits"
                : "the lowest cost: the expected time to the first token and what speaks against the engine";
    }

    private void addServers(
            String service,
            List<Backend> usable,
            Function<Backend, Optional<Function<Event, Event>>> rating,
            List<Event> events) {
        for (Backend backend : context.directory().all()) {
            if (!backend.entry().service().equals(service)) {
                continue;
            }
            Event event = Event.named("server")
                    .with("backend", backend.entry().bootId())
                    .with("domain", backend.entry().domain())
                    .with("stage", backend.entry().stage())
                    .with("open", backend.openRequests())
                    .with("failure_share", decimal(backend.failureRate()))
                    .with("state", stateOf(backend, usable));
            events.add(rating.apply(backend).map(add -> add.apply(event)).orElse(event));
        }
    }

    /** Returns what keeps requests from a server now. */
    private ServerState stateOf(Backend backend, List<Backend> usable) {
        long now = context.ticker().nanos();
        if (backend.leaving()) {
            return ServerState.LEAVING;
        }
        if (backend.turnedAwayMillis(now) > 0) {
            return ServerState.TURNS_AWAY;
        }
        if (!context.limits().admits(backend.entry().bootId())) {
            return ServerState.LIMIT_USED_UP;
        }
        if (backend.paused(now)) {
            return ServerState.PAUSED;
        }
        return usable.contains(backend) ? ServerState.ACCEPTS : ServerState.PACE_NOT_FOUND;
    }

    private static Event addPlan(Event event, RatedPlan rated) {
        return event.with("cost_ms", Math.round(rated.costMillis()))
                .with("wait_ms", Math.round(rated.plan().expectedWaitMillis()))
                .with("first_token_ms", Math.round(rated.plan().expectedFirstTokenMillis()))
                .with("cached_tokens", rated.plan().cachedTokens());
    }

    private static Event routeEvent(Catalog catalog, Route route) {
        return Event.named("route")
                .with("route", route.name())
                .with("version", catalog.version())
                .with("kind", route.kind())
                .with("target_ms", route.latencyTargetMillis());
    }

    private static Event destination(String service, Optional<Backend> chosen, String why) {
        Event event = Event.named("destination").with("service", service);
        return chosen.map(backend ->
                        event.with("backend", backend.entry().bootId()).with("why", why))
                .orElseGet(() -> event.with("backend", "none").with("why", "no server accepts requests now"));
    }

    private static Event refused(int status, String why) {
        return Event.named("refused").with("status", status).with("why", why);
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    /** Whether a server gets requests of this instance, and if not, why. */
    private enum ServerState {
        ACCEPTS,
        LEAVING,
        TURNS_AWAY,
        LIMIT_USED_UP,
        PAUSED,
        PACE_NOT_FOUND
    }
}
