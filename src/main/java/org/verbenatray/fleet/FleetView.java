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
 * What this instance knows of the engines: every engine of the detailed failure domains and those that the digests of
 * the other failure domains offer. Thread-safe.
 */
public final class FleetView {
    /** Nanoseconds in one millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The failure domains whose engines are all known. */
    private final Set<String> detailedDomains;

    /** The bounds of the view. */
    private final FleetBounds bounds;

    /** The prefix index that is told of restarted engines. */
    private final PrefixIndex prefixIndex;

    /** The known engines by name. */
    private final Map<String, EngineState> states = new TreeMap<>();

    /** The last digest of each other failure domain. */
    private final Map<String, DomainDigest> digests = new TreeMap<>();

    /** The load changes of own dispatches since they were last taken for the peers. */
    private final Map<String, LoadChange> ownChanges = new HashMap<>();

    /** The configuration in force. */
    private FleetConfiguration configuration = FleetConfiguration.empty();

    /** The known engines arranged by model, replaced as a whole. */
    private volatile FleetLayout layout = FleetLayout.empty();

    /** Creates an instance from its parts. */
    private FleetView(Set<String> detailedDomains, FleetBounds bounds, PrefixIndex prefixIndex) {
        this.detailedDomains = Set.copyOf(detailedDomains);
        this.bounds = bounds;
        this.prefixIndex = prefixIndex;
    }

    /** Returns a view without engines that keeps detail of the given failure domains. */
    public static FleetView create(Set<String> detailedDomains, FleetBounds bounds, PrefixIndex prefixIndex) {
        return new FleetView(detailedDomains, bounds, prefixIndex);
    }

    /** Takes over a configuration; the state of engines that stay configured is kept. */
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
        arrange();
    }

    /** Takes over a load report; late and repeated reports and those of unknown engines are ignored. */
    public void onReport(LoadReport report, long nowNanos) {
        EngineState state = layout.state(report.engine());
        if (state == null) {
            return;
        }
        ReportEffect effect = state.onReport(report, nowNanos);
        if (effect == ReportEffect.RESTARTED) {
            prefixIndex.clear(report.engine());
        }
        if (effect == ReportEffect.RESTARTED || effect == ReportEffect.ROLE_CHANGED) {
            arrange();
        }
    }

    /** Takes over the platform's instance list. */
    public synchronized void onInstanceList(List<InstanceListEntry> entries) {
        Set<String> listed = new HashSet<>();
        for (InstanceListEntry entry : entries) {
            listed.add(entry.name());
            EngineState state = states.get(entry.name());
            if (state != null && state.onListed(entry)) {
                prefixIndex.clear(entry.name());
            }
        }
        states.values().stream().filter(state -> !listed.contains(state.name())).forEach(EngineState::onNotListed);
        arrange();
    }

    /** Marks the present incarnation of an engine as leaving, by the engine's own answer. */
    public void onLeaving(String engine) {
        EngineState state = layout.state(engine);
        if (state != null) {
            state.onLeaving();
        }
    }

    /** Marks the given incarnation of an engine as leaving, by the word of a peer. */
    public void onLeaving(String engine, long incarnation) {
        EngineState state = layout.state(engine);
        if (state != null) {
            state.onLeaving(incarnation);
        }
    }

    /** Marks an engine as changing until a later report shows the change as done. */
    public void onChangeOrdered(String engine, long nowNanos) {
        EngineState state = layout.state(engine);
        if (state != null) {
            state.onChangeOrdered(nowNanos);
        }
    }

    /** Counts a request that is about to be sent, without its output; empty when the engine is unknown. */
    public Optional<Dispatch> onDispatch(String engine, int promptTokens, int cachedTokens, long nowNanos) {
        return onDispatch(engine, promptTokens, cachedTokens, 0, nowNanos);
    }

    /**
     * Counts a request that is about to be sent; empty when the engine is unknown.
     *
     * @param promptTokens the length of the prompt
     * @param cachedTokens the prompt tokens that the engine need not process
     * @param outputTokens the tokens that it is expected to generate, for which it reserves KV cache
     */
    public Optional<Dispatch> onDispatch(
            String engine, int promptTokens, int cachedTokens, int outputTokens, long nowNanos) {
        EngineState state = layout.state(engine);
        if (state == null) {
            return Optional.empty();
        }
        long prefillTokens = Math.max(0, promptTokens - cachedTokens);
        LoadChange load = new LoadChange(1, prefillTokens, (long) promptTokens + outputTokens);
        state.onAttempt(nowNanos);
        return Optional.of(Dispatch.start(this, state, load, nowNanos));
    }

    /** Counts the load changes that a peer's dispatches caused the given milliseconds ago. */
    public void onPeerLoad(String engine, LoadChange change, long ageMillis, long nowNanos) {
        EngineState state = layout.state(engine);
        if (state != null) {
            state.onLoadChange(change, nowNanos - ageMillis * NANOS_PER_MILLI);
        }
    }

    /** Takes over the digest of another failure domain and forgets its engines that are no longer offered. */
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
                .filter(state -> !offered.contains(state.name()) && !state.busy())
                .map(EngineState::name)
                .toList();
        dropped.forEach(this::remove);
        arrange();
    }

    /** Returns the digest of one detailed failure domain, with the least loaded engines as offers. */
    public DomainDigest digest(String failureDomain, long nowNanos) {
        List<EngineView> ready = views(nowNanos).stream()
                .filter(view -> view.spec().failureDomain().equals(failureDomain))
                .filter(view -> view.condition() == EngineCondition.READY)
                .toList();
        FleetLayout current = layout;
        List<LoadReport> offers = DomainOffers.choose(ready, bounds.offersPerDomain()).stream()
                .map(view -> current.state(view.name()).agedReport(nowNanos))
                .filter(report -> report != null)
                .toList();
        return new DomainDigest(
                failureDomain,
                ready.size(),
                ready.stream().mapToLong(EngineView::runningStreams).sum(),
                ready.stream().mapToLong(EngineView::queuedPrefillTokens).sum(),
                offers);
    }

    /** Returns the last digests of the other failure domains. */
    public synchronized List<DomainDigest> digests() {
        return List.copyOf(digests.values());
    }

    /** Returns the load changes of own dispatches since the last call, by engine, for the peers. */
    public Map<String, LoadChange> takeOwnChanges() {
        synchronized (ownChanges) {
            Map<String, LoadChange> taken = new TreeMap<>(ownChanges);
            ownChanges.clear();
            return taken;
        }
    }

    /** Returns all known engines in the order of their names. */
    public List<EngineView> views(long nowNanos) {
        List<EngineView> views = new ArrayList<>();
        layout.all().forEach(state -> views.add(read(state, nowNanos)));
        return views;
    }

    /** Returns one engine, or empty when it is unknown. */
    public Optional<EngineView> view(String engine, long nowNanos) {
        return Optional.ofNullable(layout.state(engine)).map(state -> read(state, nowNanos));
    }

    /** Returns the newest incarnation of an engine that was seen, zero for none. */
    public long incarnation(String engine) {
        EngineState state = layout.state(engine);
        return state == null ? 0 : state.incarnation();
    }

    /** Returns whether all load of the engines of a failure domain is known, not only that of a digest. */
    public boolean isDetailed(String failureDomain) {
        return detailedDomains.contains(failureDomain);
    }

    /** Returns the engines configured for a model, whose views are made when they are read. */
    public Candidates candidates(String model, long nowNanos) {
        return layout.candidates(model, state -> read(state, nowNanos));
    }

    /** Notes a load change of an own dispatch for the peers. */
    void onOwnChange(String engine, LoadChange change) {
        synchronized (ownChanges) {
            ownChanges.merge(engine, change, LoadChange::plus);
        }
    }

    /** Returns the view of one engine. */
    private EngineView read(EngineState state, long nowNanos) {
        return state.view(nowNanos, prefixIndex.doubtful(state.name()));
    }

    /** Returns the offers of a digest up to the bound per model that is configured. */
    private List<LoadReport> offersWithinBound(DomainDigest digest) {
        long limit = (long) bounds.offersPerDomain()
                * Math.max(1, configuration.models().size());
        return digest.offers().stream()
                .sorted(Comparator.comparing(LoadReport::engine))
                .limit(limit)
                .toList();
    }

    /** Adds an engine. */
    private void add(String engine, EngineSpec spec) {
        states.put(engine, EngineState.create(engine, spec, bounds));
    }

    /** Forgets an engine. */
    private void remove(String engine) {
        states.remove(engine);
        prefixIndex.clear(engine);
    }

    /** Replaces the arrangement of the engines. */
    private synchronized void arrange() {
        layout = FleetLayout.create(configuration, states);
    }
}
