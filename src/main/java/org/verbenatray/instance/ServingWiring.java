package org.verbenatray.instance;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.verbenatray.admission.AdmissionBounds;
import org.verbenatray.admission.AdmissionController;
import org.verbenatray.admission.AdmissionRequest;
import org.verbenatray.admission.ModelCapacity;
import org.verbenatray.admission.RetryBudget;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.explain.Explanations;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.once.OnceGate;
import org.verbenatray.once.OnceLimits;
import org.verbenatray.servers.HttpEngineClient;
import org.verbenatray.servers.HttpServiceClient;
import org.verbenatray.servers.ServiceClient;
import org.verbenatray.serving.OnceCalls;
import org.verbenatray.serving.OpenRequests;
import org.verbenatray.serving.QueuedAdmitter;
import org.verbenatray.serving.RelayParts;
import org.verbenatray.serving.RelaySettings;
import org.verbenatray.serving.RelayTimers;
import org.verbenatray.serving.ServerChooser;
import org.verbenatray.serving.ServingParts;

/** Builds what serves callers and keeps it up to date with the configuration and the instance list. */
final class ServingWiring {
    /** The pause between two looks at the capacity of the engines in milliseconds. */
    private static final long CAPACITY_MILLIS = 250;

    /** The further runs that each first run allows. */
    private static final double RETRY_FRACTION = 0.1;

    /** The further runs that can be saved: the batch of one engine that crashes may run elsewhere at once. */
    private static final double RETRY_RESERVE = 64;

    /** What everything runs on. */
    private final InstanceRuntime runtime;

    /** The parts around the log. */
    private final LogParts logParts;

    /** The engines. */
    private final FleetParts fleet;

    /** The configuration that all parts have taken over. */
    private final Supplier<ActiveConfiguration> configuration;

    /** Decides which requests run now, wait or are refused. */
    private final AdmissionController admission = AdmissionController.create(AdmissionBounds.defaults());

    /** Bounds the runs of requests after their first. */
    private final RetryBudget retries = RetryBudget.create(RETRY_FRACTION, RETRY_RESERVE);

    /** The open requests. */
    private final OpenRequests open;

    /** Lets calls that must not be repeated through at most once. */
    private final OnceGate once;

    /** Lets requests wait for their admission. */
    private final QueuedAdmitter admitter;

    /** Chooses backend servers of plain services. */
    private final ServerChooser servers;

    /** Creates the parts. */
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
        this.open = OpenRequests.bounded(runtime.settings().maxOpenRequests(), runtime.metrics());
        this.servers = ServerChooser.create(
                runtime.settings().failureDomain(), runtime.timing().ticker());
        this.once = OnceGate.create(
                runtime.id(),
                logParts.calls(),
                logParts.fold(),
                logParts.appender(),
                OnceLimits.defaults(),
                logParts::isReachable,
                membership::isGone,
                runtime.timing());
        this.admitter = QueuedAdmitter.create(admission, fleet.chooser(), arrivals, runtime.timing());
    }

    /** Starts the regular work. */
    void start() {
        logParts.follower().onApplied(once::applied);
        logParts.follower().onLeap(position -> once.recheck());
        once.start();
        watchCapacity();
    }

    /** Returns what the handlers of callers' requests share. */
    ServingParts parts() {
        RelaySettings bounds = RelaySettings.defaults();
        RelayParts relay = new RelayParts(
                fleet.suspects(),
                HttpEngineClient.create(runtime.transport()),
                new RelaySettings(runtime.settings().silenceMillis(), bounds.probeMillis(), bounds.maxRuns()),
                RelayTimers.onThreads(runtime.timing().ticker()),
                runtime.timing().ticker(),
                retries::tryRetry,
                runtime.metrics());
        ServiceClient services = HttpServiceClient.create(runtime.transport());
        return new ServingParts(
                runtime.settings().name(),
                runtime.settings().failureDomain(),
                configuration,
                open,
                admitter,
                relay,
                services,
                servers,
                OnceCalls.create(once, services, servers),
                Explanations.bounded(
                        runtime.settings().name(),
                        runtime.settings().failureDomain(),
                        Explanations.DEFAULT_REQUESTS,
                        runtime.timing()),
                runtime.settings().defaultTimeoutMillis());
    }

    /** Returns the open requests. */
    OpenRequests open() {
        return open;
    }

    /** Returns the requests that wait for their admission. */
    int waiting() {
        return admitter.waitingRequests();
    }

    /** Returns the calls whose outcome is not in the log yet. */
    int unsettledCalls() {
        return once.open();
    }

    /** Returns the chooser of backend servers of plain services. */
    ServerChooser servers() {
        return servers;
    }

    /** Takes a configuration over. */
    void onConfiguration(ActiveConfiguration active) {
        admission.onConfiguration(active.fleet(), runtime.nanos());
    }

    /** Takes the number of live instances over. */
    void onInstances(int instances) {
        admission.onInstances(instances, runtime.nanos());
    }

    /** Counts the first run of a request towards the budget of further ones. */
    void onArrival() {
        retries.onFirstAttempt();
    }

    /** Takes the present capacity of the engines over, now and again after each pause. */
    private void watchCapacity() {
        logParts.follower().lastReadNanos().ifPresent(at -> runtime.metrics().logAge(runtime.nanos() - at));
        List<EngineView> engines = fleet.view().views(runtime.nanos());
        for (String model : configuration.get().fleet().models().keySet()) {
            admission.onCapacity(model, ModelCapacity.of(model, engines), runtime.nanos());
        }
        runtime.timing().scheduler().runAt(runtime.timing().inMillis(CAPACITY_MILLIS), this::watchCapacity);
    }
}
