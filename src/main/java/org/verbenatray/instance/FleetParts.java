package org.verbenatray.instance;

import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.verbenatray.admission.OutputEstimator;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.fleet.FleetBounds;
import org.verbenatray.fleet.FleetView;
import org.verbenatray.fleet.PrefixIndex;
import org.verbenatray.routing.CostModel;
import org.verbenatray.routing.CostRouter;
import org.verbenatray.serving.RoutedEngineChooser;
import org.verbenatray.serving.SuspectGuard;
import org.verbenatray.suspects.SuspectLimits;
import org.verbenatray.suspects.SuspectTable;
import org.verbenatray.telemetry.Event;

/**
 * The components with which an entry instance observes the engines and chooses among them.
 *
 * @param view the view of the engines
 * @param poller polls their load reports
 * @param chooser chooses the engine with the lowest estimated cost
 * @param suspects isolates requests that are suspected of crashing engines
 */
record FleetParts(FleetView view, EnginePoller poller, RoutedEngineChooser chooser, SuspectGuard suspects) {
    /** Creates the components; the view holds no engine before the first configuration. */
    static FleetParts create(InstanceRuntime runtime, Supplier<FleetConfiguration> configuration, LongSupplier offset) {
        String failureDomain = runtime.settings().failureDomain();
        PrefixIndex prefixIndex = PrefixIndex.create(PrefixIndex.DEFAULT_BLOCKS_PER_ENGINE);
        FleetView view = FleetView.create(Set.of(failureDomain), FleetBounds.defaults(), prefixIndex);
        EnginePoller poller =
                new EnginePoller(runtime.transport(), configuration, failureDomain, view, runtime.timing());
        CostRouter router = CostRouter.create(
                CostModel.defaults(), prefixIndex, configuration, randomNumbers(runtime.incarnation()));
        RoutedEngineChooser chooser = RoutedEngineChooser.create(
                router,
                view,
                prefixIndex,
                OutputEstimator.create(OutputEstimator.DEFAULT_MAX_PAIRS),
                configuration,
                view::incarnation,
                failureDomain,
                runtime.timing().ticker());
        SuspectTable table = SuspectTable.create(runtime.id(), SuspectLimits.defaults());
        UnaryOperator<Event> context =
                event -> event.with("instance", runtime.settings().name())
                        .with("failure_domain", failureDomain)
                        .with("configuration", offset.getAsLong());
        return new FleetParts(
                view, poller, chooser, SuspectGuard.create(table, chooser, view, runtime.timing(), context));
    }

    /** Returns a thread-safe source of random numbers. */
    private static LongSupplier randomNumbers(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return () -> {
            synchronized (random) {
                return random.nextLong();
            }
        };
    }
}
