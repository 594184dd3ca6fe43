package org.verbenatray.instance;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.verbenatray.admission.AdmissionBounds;
import org.verbenatray.admission.AdmissionController;
import org.verbenatray.admission.AdmissionRequest;
import org.verbenatray.admission.ModelCapacity;
import org.verbenatray.admission.RetryThrottle;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.explain.ExplanationStore;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.once.AtMostOnceExecutor;
import org.verbenatray.once.AtMostOnceLimits;
import org.verbenatray.servers.HttpEngineClient;
import org.verbenatray.servers.HttpServiceClient;
import org.verbenatray.servers.ServiceClient;
import org.verbenatray.serving.AtMostOnceCalls;
import org.verbenatray.serving.OpenRequests;
import org.verbenatray.serving.QueuedAdmitter;
import org.verbenatray.serving.ServerChooser;
import org.verbenatray.serving.ServingContext;
import org.verbenatray.serving.StreamRelayContext;
import org.verbenatray.serving.StreamRelaySettings;
import org.verbenatray.serving.StreamRelayTimers;

/**
 * Creates the components of an entry instance that serve callers, and passes them changes of the configuration, the
 * instance list and the engines' capacity.
 */
final class ServingWiring {
    /** The time between two reads of the engines' capacity in milliseconds. */
    private static final long CAPACITY_INTERVAL_MILLIS = 250;

    /** The number of retries that each first attempt adds to the budget. */
    private static final double RETRIES_PER_FIRST_ATTEMPT = 0.1;

    /** The maximum budget in retries: enough to retry the whole batch of one crashed engine elsewhere at once. */
    private static final double MAX_SAVED_RETRIES = 64;

    private final InstanceRuntime runtime;

    private final LogParts logParts;

    private final FleetParts fleet;

    /** The configuration that all components have applied. */
    private final Supplier<ActiveConfiguration> configuration;

    private final AdmissionController admission = AdmissionController.create(AdmissionBounds.defaults());

    /** Limits retries, that is, dispatches of a request after its first. */
    private final RetryThrottle retryThrottle = RetryThrottle.create(RETRIES_PER_FIRST_ATTEMPT, MAX_SAVED_RETRIES);

    private final OpenRequests openRequests;

    private final AtMostOnceExecutor atMostOnceExecutor;

    private final QueuedAdmitter admitter;

    private final ServerChooser servers;

    ServingWiring(
            InstanceRuntime runtime,
            LogParts logParts,
            FleetParts fleet,
            Membership membership,
            Supplier<ActiveConfiguration> configuration,
            Consumer<AdmissionRequest> arrivals) {
        this.runtime = runtime;
        this.logParts = logParts;
        this.fleet = fleet;
        this.configuration = configuration;
        this.openRequests = OpenRequests.withLimit(runtime.settings().maxOpenRequests(), runtime.metrics());
        this.servers = ServerChooser.create(
                runtime.settings().failureDomain(), runtime.timing().ticker());
        this.atMostOnceExecutor = AtMostOnceExecutor.create(
                runtime.id(),
                logParts.calls(),
                logParts.fold(),
                logParts.appender(),
                AtMostOnceLimits.defaults(),
                logParts::isReachable,
                membership::isRemovedFromList,
                runtime.timing());
        this.admitter = QueuedAdmitter.create(admission, fleet.chooser(), arrivals, runtime.timing());
    }

    /** Registers the listeners and starts the periodic work. */
    void start() {
        logParts.follower().onApplied(atMostOnceExecutor::onRecordApplied);
        logParts.follower().onSnapshotRestored(position -> atMostOnceExecutor.completeAllResolved());
        atMostOnceExecutor.start();
        updateCapacity();
    }

    /** Returns the components that the handlers of callers' requests share. */
    ServingContext context() {
        StreamRelaySettings defaults = StreamRelaySettings.defaults();
        StreamRelayContext relay = new StreamRelayContext(
                fleet.suspects(),
                HttpEngineClient.create(runtime.transport()),
                new StreamRelaySettings(
                        runtime.settings().silenceMillis(), defaults.probeTimeoutMillis(), defaults.maxDispatches()),
                StreamRelayTimers.onThreads(runtime.timing().ticker()),
                runtime.timing().ticker(),
                retryThrottle::tryAcquire,
                runtime.metrics());
        ServiceClient services = HttpServiceClient.create(runtime.transport());
        return new ServingContext(
                runtime.settings().name(),
                runtime.settings().failureDomain(),
                configuration,
                openRequests,
                admitter,
                relay,
                services,
                servers,
                AtMostOnceCalls.create(atMostOnceExecutor, services, servers),
                ExplanationStore.bounded(
                        runtime.settings().name(),
                        runtime.settings().failureDomain(),
                        ExplanationStore.DEFAULT_REQUESTS,
                        runtime.timing()),
                runtime.settings().defaultTimeoutMillis());
    }

    /** Returns the open requests. */
    OpenRequests openRequests() {
        return openRequests;
    }

    /** Returns the number of requests that wait for admission. */
    int waitingRequestCount() {
        return admitter.waitingRequests();
    }

    /** Returns the number of calls whose outcome is not in the log yet. */
    int unsettledCallCount() {
        return atMostOnceExecutor.openCount();
    }

    /** Returns the chooser of backend servers of plain services. */
    ServerChooser servers() {
        return servers;
    }

    /** Applies a configuration to the admission control. */
    void onConfiguration(ActiveConfiguration active) {
        admission.onConfiguration(active.fleet(), runtime.nowNanos());
    }

    /** Applies the number of live instances to the admission control. */
    void onInstances(int instances) {
        admission.onInstanceCount(instances, runtime.nowNanos());
    }

    /** Adds the retries that a request's first attempt allows to the retry budget. */
    void onFirstAttempt() {
        retryThrottle.recordFirstAttempt();
    }

    /** Passes the engines' current capacity to the admission control and schedules the next update. */
    private void updateCapacity() {
        logParts.follower().lastReadNanos().ifPresent(at -> runtime.metrics().setLogAge(runtime.nowNanos() - at));
        List<EngineView> engines = fleet.view().views(runtime.nowNanos());
        for (String model : configuration.get().fleet().models().keySet()) {
            admission.onCapacity(model, ModelCapacity.of(model, engines), runtime.nowNanos());
        }
        runtime.timing()
                .scheduler()
                .runAt(runtime.timing().deadlineAfterMillis(CAPACITY_INTERVAL_MILLIS), this::updateCapacity);
    }
}
