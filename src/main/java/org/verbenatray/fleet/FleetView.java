package org.verbenatray.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.fleet.EngineState.ReportEffect;

/**
 * The engines known to this instance, with their load and availability: all engines of the detailed failure domains and
 * those that the digests of other failure domains offer. Thread-safe.
 */
public final class FleetView {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The failure domains of which every engine is tracked. */
    private final Set<String> detailedDomains;

    private final FleetBounds bounds;

    /** The prefix index, from which restarted and removed engines are removed. */
    private final PrefixIndex prefixIndex;

    /** The known engines by name. */
    private final Map<String, EngineState> states = new TreeMap<>();

    /** The last digest of each other failure domain. */
    private final Map<String, DomainDigest> digests = new TreeMap<>();

    /** The load changes by own dispatches since the last {@link #drainOwnChanges}, by engine. */
    private final Map<String, LoadChange> ownChanges = new HashMap<>();

    private FleetConfiguration configuration = FleetConfiguration.empty();

    /** The index of the known engines, replaced as a whole so that it can be read without a lock. */
    private volatile FleetLayout layout = FleetLayout.empty();

    private FleetView(Set<String> detailedDomains, FleetBounds bounds, PrefixIndex prefixIndex) {
        this.detailedDomains = Set.copyOf(detailedDomains);
        this.bounds = bounds;
        this.prefixIndex = prefixIndex;
    }

    /** Returns a view without engines that will track every engine of the given failure domains. */
    public static FleetView create(Set<String> detailedDomains, FleetBounds bounds, PrefixIndex prefixIndex) {
        return new FleetView(detailedDomains, bounds, prefixIndex);
    }

    /** Applies a configuration. Engines that stay configured keep their state. */
    public synchronized void onConfiguration(FleetConfiguration newConfiguration) {
        configuration = newConfiguration;
        for (Map.Entry<String, EngineSpec> entry : newConfiguration.engines().entrySet()) {
            EngineState state = states.get(entry.getKey());
            if (state != null) {
                state.configure(entry.getValue());
            } else if (detailedDomains.contains(entry.getValue().failureDomain())) {
                add(entry.getKey(), entry.getValue());
            }
        }
        List<String> removed = states.keySet().stream()
                .filter(engine -> !newConfiguration.engines().containsKey(engine))
                .toList();
        removed.forEach(this::remove);
        rebuildLayout();
    }

    /** Applies a load report. Outdated or repeated reports and reports of unknown engines are ignored. */
    public void onReport(LoadReport report, long nowNanos) {
        EngineState state = layout.state(report.engine());
        if (state == null) {
            return;
        }
        ReportEffect effect = state.onReport(report, nowNanos);
        if (effect == ReportEffect.RESTARTED) {
            prefixIndex.removeEngine(report.engine());
        }
        if (effect == ReportEffect.RESTARTED || effect == ReportEffect.ROLE_CHANGED) {
            rebuildLayout();
        }
    }

    /** Applies the engine entries of the platform's instance list. */
    public synchronized void onInstanceList(List<ListedEngine> entries) {
        Set<String> listed = new HashSet<>();
        for (ListedEngine entry : entries) {
            listed.add(entry.name());
            EngineState state = states.get(entry.name());
            if (state != null && state.onListed(entry)) {
                prefixIndex.removeEngine(entry.name());
            }
        }
        states.values().stream().filter(state -> !listed.contains(state.name())).forEach(EngineState::onNotListed);
        rebuildLayout();
    }

    /** Marks the current incarnation of an engine as leaving, as stated in a response of the engine. */
    public void onLeaving(String engine) {
        EngineState state = layout.state(engine);
        if (state != null) {
            state.onLeaving();
        }
    }

    /** Marks the given incarnation of an engine as leaving, as reported by a peer. */
    public void onLeaving(String engine, long incarnation) {
        EngineState state = layout.state(engine);
        if (state != null) {
            state.onLeaving(incarnation);
        }
    }

    /** Marks an engine as changing until a later report shows the change as completed. */
    public void onChangeOrdered(String engine, long nowNanos) {
        EngineState state = layout.state(engine);
        if (state != null) {
            state.onChangeOrdered(nowNanos);
        }
    }

    /** Adds the load of a request that is about to be sent, without its output; empty if the engine is unknown. */
    public Optional<Dispatch> onDispatch(String engine, int promptTokens, int cachedTokens, long nowNanos) {
        return onDispatch(engine, promptTokens, cachedTokens, 0, nowNanos);
    }

    /**
     * Adds the load of a request that is about to be sent; returns empty if the engine is unknown.
     *
     * @param promptTokens the length of the prompt in tokens
     * @param cachedTokens the prompt tokens that the engine has in its prefix cache
     * @param outputTokens the expected number of output tokens, for which the engine reserves KV cache
     */
    public Optional<Dispatch> onDispatch(
            String engine, int promptTokens, int cachedTokens, int outputTokens, long nowNanos) {
        EngineState state = layout.state(engine);
        if (state == null) {
            return Optional.empty();
        }
        long prefillTokens = Math.max(0, promptTokens - cachedTokens);
        LoadChange load = new LoadChange(1, prefillTokens, (long) promptTokens + outputTokens);
        state.onRequestSent(nowNanos);
        return Optional.of(Dispatch.start(this, state, load, nowNanos));
    }

    /** Adds a load change that the dispatches of a peer caused {@code ageMillis} ago. */
    public void onPeerLoad(String engine, LoadChange change, long ageMillis, long nowNanos) {
        EngineState state = layout.state(engine);
        if (state != null) {
            state.onLoadChange(change, nowNanos - ageMillis * NANOS_PER_MILLI);
        }
    }

    /**
     * Applies the digest of another failure domain.
     *
     * <p>Engines of that failure domain that are no longer offered are removed, unless they have load changes that no
     * report includes yet.
     */
    public synchronized void onDomainDigest(DomainDigest digest, long nowNanos) {
        if (detailedDomains.contains(digest.failureDomain())) {
            return;
        }
        digests.put(digest.failureDomain(), digest);
        Set<String> offered = new HashSet<>();
        for (LoadReport offer : offersWithinBound(digest)) {
            EngineSpec spec = configuration.engines().get(offer.engine());
            if (spec != null && spec.failureDomain().equals(digest.failureDomain())) {
                offered.add(offer.engine());
                states.computeIfAbsent(offer.engine(), name -> EngineState.create(name, spec, bounds))
                        .onReport(offer, nowNanos);
            }
        }
        List<String> dropped = states.values().stream()
                .filter(state -> state.spec().failureDomain().equals(digest.failureDomain()))
                .filter(state -> !offered.contains(state.name()) && !state.hasUnreportedChanges())
                .map(EngineState::name)
                .toList();
        dropped.forEach(this::remove);
        rebuildLayout();
    }

    /** Returns the digest of a detailed failure domain, which offers its least loaded engines. */
    public DomainDigest digest(String failureDomain, long nowNanos) {
        List<EngineView> ready = views(nowNanos).stream()
                .filter(view -> view.spec().failureDomain().equals(failureDomain))
                .filter(view -> view.condition() == EngineCondition.READY)
                .toList();
        FleetLayout current = layout;
        List<LoadReport> offers = DomainOffers.select(ready, bounds.maxOffersPerGroup()).stream()
                .map(view -> current.state(view.name()).currentReport(nowNanos))
                .filter(report -> report != null)
                .toList();
        return new DomainDigest(
                failureDomain,
                ready.size(),
                ready.stream().mapToLong(EngineView::runningStreams).sum(),
                ready.stream().mapToLong(EngineView::queuedPrefillTokens).sum(),
                offers);
    }

    /** Returns the last digest of each of the other failure domains. */
    public synchronized List<DomainDigest> digests() {
        return List.copyOf(digests.values());
    }

    /** Removes and returns the load changes by own dispatches since the last call, by engine, to be sent to peers. */
    public Map<String, LoadChange> drainOwnChanges() {
        synchronized (ownChanges) {
            Map<String, LoadChange> drained = new TreeMap<>(ownChanges);
            ownChanges.clear();
            return drained;
        }
    }

    /** Returns all known engines, ordered by name. */
    public List<EngineView> views(long nowNanos) {
        List<EngineView> views = new ArrayList<>();
        layout.all().forEach(state -> views.add(viewOf(state, nowNanos)));
        return views;
    }

    /** Returns the view of an engine; empty if the engine is unknown. */
    public Optional<EngineView> view(String engine, long nowNanos) {
        return Optional.ofNullable(layout.state(engine)).map(state -> viewOf(state, nowNanos));
    }

    /** Returns the newest known incarnation of an engine; zero if none is known. */
    public long incarnation(String engine) {
        EngineState state = layout.state(engine);
        return state == null ? 0 : state.incarnation();
    }

    /** Returns whether every engine of a failure domain is tracked, not only those offered by its digest. */
    public boolean isDetailed(String failureDomain) {
        return detailedDomains.contains(failureDomain);
    }

    /** Returns the engines configured for a model; their views are made when they are read. */
    public Candidates candidates(String model, long nowNanos) {
        return layout.candidates(model, state -> viewOf(state, nowNanos));
    }

    /** Records a load change by an own dispatch, to be sent to peers. */
    void recordOwnChange(String engine, LoadChange change) {
        synchronized (ownChanges) {
            ownChanges.merge(engine, change, LoadChange::plus);
        }
    }

    private EngineView viewOf(EngineState state, long nowNanos) {
        return state.view(nowNanos, prefixIndex.hasMissedEvents(state.name()));
    }

    /** Returns the offers of a digest, limited to {@code maxOffersPerGroup} times the number of models. */
    private List<LoadReport> offersWithinBound(DomainDigest digest) {
        long limit = (long) bounds.maxOffersPerGroup()
                * Math.max(1, configuration.models().size());
        return digest.offers().stream()
                .sorted(Comparator.comparing(LoadReport::engine))
                .limit(limit)
                .toList();
    }

    private void add(String engine, EngineSpec spec) {
        states.put(engine, EngineState.create(engine, spec, bounds));
    }

    /** Removes an engine and its entries in the prefix index. */
    private void remove(String engine) {
        states.remove(engine);
        prefixIndex.removeEngine(engine);
    }

    /** Replaces the index by one of the current engines and roles. */
    private synchronized void rebuildLayout() {
        layout = FleetLayout.create(configuration, states);
    }
}
