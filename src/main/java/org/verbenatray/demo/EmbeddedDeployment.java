package org.verbenatray.demo;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.verbenatray.configuration.ConfigurationMerger;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.fleet.InstanceEntry;
import org.verbenatray.instance.EntryInstance;
import org.verbenatray.instance.LogSession;
import org.verbenatray.log.RecordBody.ConfigurationChange;
import org.verbenatray.log.RecordBody.FileChange;
import org.verbenatray.log.Verdict;
import org.verbenatray.settings.EntrySettings;
import org.verbenatray.standin.EngineServer;
import org.verbenatray.standin.InMemoryLog;
import org.verbenatray.standin.PlatformEndpoint;
import org.verbenatray.standin.PlatformServer;
import org.verbenatray.standin.ServiceServer;
import org.verbenatray.standin.engine.EngineModelSpec;
import org.verbenatray.time.Ticker;

/**
 * A complete deployment in one process: stand-in platform, engines and services, and entry instances, all on loopback
 * ports chosen by the system.
 */
public final class EmbeddedDeployment implements AutoCloseable {
    /** The API key of the customer in every embedded configuration. */
    public static final String API_KEY = "embedded-key";

    /** The loopback listen address with a port chosen by the system. */
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    /** The time for which an engine is out of service during a role change, in milliseconds. */
    private static final long ROLE_CHANGE_MILLIS = 2_000;

    /** The time for which an engine is out of service while it loads a model version, in milliseconds. */
    private static final long LOAD_MODEL_MILLIS = 1_000;

    /** The timeout for reading the log in milliseconds. */
    private static final long LOG_READ_TIMEOUT_MILLIS = 20_000;

    private final Shape shape;

    private final PlatformServer platform;

    private final List<EngineServer> engines = new CopyOnWriteArrayList<>();

    private final List<ServiceServer> services = new ArrayList<>();

    private final List<EntryInstance> entries = new CopyOnWriteArrayList<>();

    /** The platform endpoint of each entry instance, by instance name. */
    private final Map<String, PlatformEndpoint> platformEndpoints = new ConcurrentHashMap<>();

    /** Starts the platform, the engines and the services, but no entry instances. */
    private EmbeddedDeployment(Shape shape) {
        this.shape = shape;
        this.platform =
                PlatformServer.start(ANY_PORT, InMemoryLog.withRateLimit(Ticker.system(), shape.appendsPerSecond()));
        for (int i = 0; i < shape.engines(); i++) {
            engines.add(startEngine(engineName(i)));
        }
        for (int i = 0; i < shape.services(); i++) {
            services.add(ServiceServer.start(ANY_PORT));
        }
    }

    /** Starts a deployment and returns it once every instance is ready. */
    public static EmbeddedDeployment start(Shape shape) throws IOException, InterruptedException {
        EmbeddedDeployment deployment = new EmbeddedDeployment(shape);
        deployment.registerBackendServers();
        deployment.publish("fleet.yaml", deployment.fleetYaml());
        for (int i = 0; i < shape.entries(); i++) {
            deployment.startEntryAndAwaitReady("entry-" + (i + 1), shape.failureDomainOf(i));
        }
        return deployment;
    }

    /** Starts an additional entry instance and waits until it is ready. */
    public EntryInstance startEntryAndAwaitReady(String name, String failureDomain)
            throws IOException, InterruptedException {
        EntryInstance entry = startEntry(name, failureDomain, List.of());
        while (!entry.isReady()) {
            Thread.onSpinWait();
            synchronized (this) {
                wait(5);
            }
        }
        return entry;
    }

    /**
     * Starts an additional entry instance without waiting until it is ready. It connects to the given peers until it
     * has read the instance list.
     */
    public EntryInstance startEntry(String name, String failureDomain, List<InetSocketAddress> knownPeers)
            throws IOException {
        platformEndpoints.put(name, PlatformEndpoint.start(ANY_PORT, platform));
        EntryInstance entry = EntryInstance.start(settings(name, failureDomain, knownPeers));
        entries.add(entry);
        return entry;
    }

    /** Publishes one file of the configuration and returns the verdict of the log. */
    public Verdict publish(String file, String content) throws IOException {
        try (LogSession session = LogSession.open("operator", platform.address(), LOG_READ_TIMEOUT_MILLIS)) {
            var view = session.configuration();
            var inForce = Optional.ofNullable(view.files().get(file));
            FileChange change = new FileChange(
                    file,
                    Optional.of(content),
                    inForce.map(found -> found.offset()).orElse(-1L));
            return session.append(new ConfigurationChange(List.of(change)), Optional.of(view.offset()));
        }
    }

    /**
     * Returns the configuration file of this deployment; fails with an {@link IllegalStateException} if it is
     * invalid.
     */
    public String fleetYaml() {
        FleetYaml yaml = FleetYaml.withModels(shape);
        String hash =
                Hashing.sha256().hashString(API_KEY, StandardCharsets.UTF_8).toString();
        yaml.addCustomer("embedded", hash);
        for (int i = 0; i < services.size(); i++) {
            yaml.addServiceServer(
                    "service-" + (i + 1),
                    shape.failureDomainOf(i),
                    services.get(i).address());
        }
        yaml.addServiceCalls();
        for (int i = 0; i < engines.size(); i++) {
            yaml.addEngine(
                    engineName(i), shape.failureDomainOf(i), engines.get(i).address());
        }
        String text = yaml.text();
        var problems = ConfigurationMerger.merge(new TreeMap<>(Map.of("fleet.yaml", text)))
                .problems();
        if (!problems.isEmpty()) {
            throw new IllegalStateException("the embedded configuration is invalid: " + problems);
        }
        return text;
    }

    /** Returns the stand-in platform. */
    public PlatformServer platform() {
        return platform;
    }

    /** Returns the stand-in engines, a live list. */
    public List<EngineServer> engines() {
        return engines;
    }

    /** Returns the servers of the stand-in service. */
    public List<ServiceServer> services() {
        return services;
    }

    /** Returns the entry instances, a live list. */
    public List<EntryInstance> entries() {
        return entries;
    }

    /** Returns the platform endpoint of an entry instance, which tests can make unreachable. */
    public PlatformEndpoint platformEndpoint(String entry) {
        return platformEndpoints.get(entry);
    }

    /** Starts an engine that no configuration contains yet, adds it to the instance list and returns its index. */
    public int addEngine() {
        int index = engines.size();
        engines.add(startEngine(engineName(index)));
        registerEngine(index, false);
        return index;
    }

    /** Returns a configuration file that replaces one engine by another, to be merged after the first file. */
    public String replacementYaml(int leaving, int replacement) {
        FleetYaml yaml = FleetYaml.empty(shape);
        yaml.addEngine(
                engineName(replacement),
                shape.failureDomainOf(replacement),
                engines.get(replacement).address());
        return yaml.text() + "  " + engineName(leaving) + ": null\n";
    }

    /** Adds an engine to the instance list, or updates its entry, as live or leaving. */
    public void registerEngine(int index, boolean leaving) {
        EngineServer engine = engines.get(index);
        platform.addInstance(new InstanceEntry(
                engine.name(),
                InstanceEntry.Kind.ENGINE,
                shape.failureDomainOf(index),
                engine.address(),
                engine.incarnation(),
                leaving));
    }

    @Override
    public void close() {
        entries.forEach(EntryInstance::close);
        engines.forEach(EngineServer::close);
        services.forEach(ServiceServer::close);
        platformEndpoints.values().forEach(PlatformEndpoint::close);
        platform.close();
    }

    private EngineServer startEngine(String name) {
        EngineModelSpec.Limits defaults = EngineModelSpec.Limits.defaults();
        EngineModelSpec.Limits limits = new EngineModelSpec.Limits(
                EngineRole.BOTH,
                defaults.chunkTokens(),
                defaults.cachedBlocks(),
                defaults.blockTokens(),
                defaults.kvTransferTokensPerSecond(),
                ROLE_CHANGE_MILLIS,
                LOAD_MODEL_MILLIS);
        EngineModelSpec spec = new EngineModelSpec(
                shape.prefillTokensPerSecond(),
                shape.decodeStepMillis(),
                FleetYaml.STEP_MILLIS_PER_STREAM,
                FleetYaml.MAX_STREAMS,
                FleetYaml.KV_TOKENS,
                limits);
        return EngineServer.start(name, ANY_PORT, spec, Map.of("quick-check", "1", "long-review", "1"), true);
    }

    /** Adds all backend servers to the instance list. */
    private void registerBackendServers() {
        for (int i = 0; i < engines.size(); i++) {
            registerEngine(i, false);
        }
        for (int i = 0; i < services.size(); i++) {
            platform.addInstance(new InstanceEntry(
                    "service-" + (i + 1),
                    InstanceEntry.Kind.SERVICE,
                    shape.failureDomainOf(i),
                    services.get(i).address(),
                    1,
                    false));
        }
    }

    private static String engineName(int index) {
        return "engine-" + (index + 1);
    }

    private EntrySettings settings(String name, String failureDomain, List<InetSocketAddress> knownPeers) {
        return new EntrySettings(
                name,
                failureDomain,
                platformEndpoints.get(name).address(),
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                knownPeers,
                shape.ioThreads(),
                16L * 1024 * 1024,
                4_096,
                60_000,
                shape.silenceMillis(),
                3_000);
    }

    /**
     * The shape of a deployment.
     *
     * @param failureDomains the failure domains, over which instances and servers are spread in turn
     * @param entries the number of entry instances
     * @param engines the number of engines
     * @param services the number of servers of the plain service
     * @param prefillTokensPerSecond the prefill rate of an engine in tokens per second
     * @param decodeStepMillis the duration of a decode step in milliseconds
     * @param silenceMillis the time without a token, in milliseconds, after which the engine is asked for the state of
     *     the stream
     * @param appendsPerSecond the maximum rate of append calls of the platform
     * @param ioThreads the number of I/O threads of each instance
     */
    public record Shape(
            List<String> failureDomains,
            int entries,
            int engines,
            int services,
            double prefillTokensPerSecond,
            double decodeStepMillis,
            long silenceMillis,
            double appendsPerSecond,
            int ioThreads) {
        /** Returns a shape with two entry instances, two engines and one service in one failure domain. */
        public static Shape small() {
            return new Shape(List.of("north"), 2, 2, 1, 20_000, 5, 300, 300, 1);
        }

        /** Returns the failure domain of the instance or server with the given index. */
        String failureDomainOf(int index) {
            return failureDomains.get(index % failureDomains.size());
        }
    }
}
