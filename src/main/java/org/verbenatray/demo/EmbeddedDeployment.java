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
import org.verbenatray.standin.PlatformGate;
import org.verbenatray.standin.PlatformServer;
import org.verbenatray.standin.ServiceServer;
import org.verbenatray.standin.engine.EngineModelSpec;
import org.verbenatray.time.Ticker;

/** A platform, engines, services and entry instances in one process, on ports that the system chooses. */
public final class EmbeddedDeployment implements AutoCloseable {
    /** The API key of the customer in every embedded configuration. */
    public static final String API_KEY = "embedded-key";

    /** The address on which everything listens. */
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    /** The time without service of a role change in milliseconds. */
    private static final long ROLE_CHANGE_MILLIS = 2_000;

    /** The time without service of loading a version in milliseconds. */
    private static final long LOAD_MODEL_MILLIS = 1_000;

    /** The time that reading the log may take in milliseconds. */
    private static final long READ_MILLIS = 20_000;

    /** The shape. */
    private final Shape shape;

    /** The platform. */
    private final PlatformServer platform;

    /** The engines. */
    private final List<EngineServer> engines = new CopyOnWriteArrayList<>();

    /** The servers of the plain service. */
    private final List<ServiceServer> services = new ArrayList<>();

    /** The entry instances. */
    private final List<EntryInstance> entries = new CopyOnWriteArrayList<>();

    /** The way of each entry instance to the platform, by its name. */
    private final Map<String, PlatformGate> gates = new ConcurrentHashMap<>();

    /** Creates a deployment and starts everything but the entry instances. */
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

    /** Returns a deployment whose instances have read its configuration. */
    public static EmbeddedDeployment start(Shape shape) throws IOException, InterruptedException {
        EmbeddedDeployment deployment = new EmbeddedDeployment(shape);
        deployment.showBackendServers();
        deployment.publish("fleet.yaml", deployment.fleetYaml());
        for (int i = 0; i < shape.entries(); i++) {
            deployment.addEntry("entry-" + (i + 1), shape.domainOf(i));
        }
        return deployment;
    }

    /** Starts one more entry instance and waits until it takes requests. */
    public EntryInstance addEntry(String name, String failureDomain) throws IOException, InterruptedException {
        EntryInstance entry = startEntry(name, failureDomain, List.of());
        while (!entry.isReady()) {
            Thread.onSpinWait();
            synchronized (this) {
                wait(5);
            }
        }
        return entry;
    }

    /** Starts one more entry instance without waiting; it links to the given peers until it has an instance list. */
    public EntryInstance startEntry(String name, String failureDomain, List<InetSocketAddress> knownPeers)
            throws IOException {
        gates.put(name, PlatformGate.start(ANY_PORT, platform));
        EntryInstance entry = EntryInstance.start(settings(name, failureDomain, knownPeers));
        entries.add(entry);
        return entry;
    }

    /** Publishes one file of the configuration and returns the verdict. */
    public Verdict publish(String file, String content) throws IOException {
        try (LogSession session = LogSession.open("operator", platform.address(), READ_MILLIS)) {
            var view = session.configuration();
            var inForce = Optional.ofNullable(view.files().get(file));
            FileChange change = new FileChange(
                    file,
                    Optional.of(content),
                    inForce.map(found -> found.offset()).orElse(-1L));
            return session.append(new ConfigurationChange(List.of(change)), Optional.of(view.offset()));
        }
    }

    /** Returns the configuration file of this deployment. */
    public String fleetYaml() {
        FleetYaml yaml = FleetYaml.create(shape);
        String hash =
                Hashing.sha256().hashString(API_KEY, StandardCharsets.UTF_8).toString();
        yaml.customer("embedded", hash);
        for (int i = 0; i < services.size(); i++) {
            yaml.service(
                    "service-" + (i + 1), shape.domainOf(i), services.get(i).address());
        }
        yaml.calls();
        for (int i = 0; i < engines.size(); i++) {
            yaml.engine(engineName(i), shape.domainOf(i), engines.get(i).address());
        }
        String text = yaml.text();
        var problems = ConfigurationMerger.merge(new TreeMap<>(Map.of("fleet.yaml", text)))
                .problems();
        if (!problems.isEmpty()) {
            throw new IllegalStateException("the embedded configuration is wrong: " + problems);
        }
        return text;
    }

    /** Returns the platform. */
    public PlatformServer platform() {
        return platform;
    }

    /** Returns the engines. */
    public List<EngineServer> engines() {
        return engines;
    }

    /** Returns the servers of the plain service. */
    public List<ServiceServer> services() {
        return services;
    }

    /** Returns the entry instances. */
    public List<EntryInstance> entries() {
        return entries;
    }

    /** Returns the way of an entry instance to the platform. */
    public PlatformGate gate(String entry) {
        return gates.get(entry);
    }

    /** Starts an engine that no configuration names yet and shows it in the instance list; returns its index. */
    public int addEngine() {
        int index = engines.size();
        engines.add(startEngine(engineName(index)));
        showEngine(index, false);
        return index;
    }

    /** Returns the configuration of an engine that replaces another one, as a file that is merged after the first. */
    public String replacementYaml(int leaving, int replacement) {
        FleetYaml yaml = FleetYaml.empty(shape);
        yaml.engine(
                engineName(replacement),
                shape.domainOf(replacement),
                engines.get(replacement).address());
        return yaml.text() + "  " + engineName(leaving) + ": null\n";
    }

    /** Shows an engine in the instance list as live or leaving. */
    public void showEngine(int index, boolean leaving) {
        EngineServer engine = engines.get(index);
        platform.show(new InstanceEntry(
                engine.name(),
                InstanceEntry.Kind.ENGINE,
                shape.domainOf(index),
                engine.address(),
                engine.incarnation(),
                leaving));
    }

    @Override
    public void close() {
        entries.forEach(EntryInstance::close);
        engines.forEach(EngineServer::close);
        services.forEach(ServiceServer::close);
        gates.values().forEach(PlatformGate::close);
        platform.close();
    }

    /** Starts an engine. */
    private EngineServer startEngine(String name) {
        EngineModelSpec.Limits usual = EngineModelSpec.Limits.defaults();
        EngineModelSpec.Limits limits = new EngineModelSpec.Limits(
                EngineRole.BOTH,
                usual.chunkTokens(),
                usual.cachedPieces(),
                usual.pieceTokens(),
                usual.kvTransferTokensPerSecond(),
                ROLE_CHANGE_MILLIS,
                LOAD_MODEL_MILLIS);
        EngineModelSpec spec = new EngineModelSpec(
                shape.prefillTokensPerSecond(),
                shape.decodeStepMillis(),
                FleetYaml.STEP_MILLIS_PER_STREAM,
                FleetYaml.MAX_STREAMS,
                FleetYaml.KV_TOKENS,
                limits);
        return EngineServer.start(name, ANY_PORT, spec, Map.of("gate-check", "1", "trade-review", "1"), true);
    }

    /** Shows the backend servers in the instance list. */
    private void showBackendServers() {
        for (int i = 0; i < engines.size(); i++) {
            showEngine(i, false);
        }
        for (int i = 0; i < services.size(); i++) {
            platform.show(new InstanceEntry(
                    "service-" + (i + 1),
                    InstanceEntry.Kind.SERVICE,
                    shape.domainOf(i),
                    services.get(i).address(),
                    1,
                    false));
        }
    }

    /** Returns the name of an engine. */
    private static String engineName(int index) {
        return "engine-" + (index + 1);
    }

    /** Returns the settings of an entry instance. */
    private EntrySettings settings(String name, String failureDomain, List<InetSocketAddress> knownPeers) {
        return new EntrySettings(
                name,
                failureDomain,
                gates.get(name).address(),
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
     * @param domains the failure domains, over which everything is spread in turn
     * @param entries the number of entry instances
     * @param engines the number of engines
     * @param services the number of servers of the plain service
     * @param prefillTokensPerSecond the rate at which an engine processes prompts
     * @param decodeStepMillis the time of a decode step in milliseconds
     * @param silenceMillis the time without a token after which an engine is asked, in milliseconds
     * @param appendsPerSecond the append calls per second that the platform takes
     * @param ioThreads the threads of each instance that move bytes
     */
    public record Shape(
            List<String> domains,
            int entries,
            int engines,
            int services,
            double prefillTokensPerSecond,
            double decodeStepMillis,
            long silenceMillis,
            double appendsPerSecond,
            int ioThreads) {
        /** Returns a small deployment in one failure domain. */
        public static Shape small() {
            return new Shape(List.of("north"), 2, 2, 1, 20_000, 5, 300, 300, 1);
        }

        /** Returns the failure domain of the thing with the given index. */
        String domainOf(int index) {
            return domains.get(index % domains.size());
        }
    }
}
