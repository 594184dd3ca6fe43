package org.verbenatray.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.verbenatray.demo.EmbeddedDeployment;
import org.verbenatray.instance.EntryInstance;
import org.verbenatray.instance.LogSession;
import org.verbenatray.log.LogUnavailableException;
import org.verbenatray.log.RecordBody.ConfigurationChange;
import org.verbenatray.log.RecordBody.FileChange;
import org.verbenatray.log.Verdict;
import org.verbenatray.standin.EngineFaults;
import org.verbenatray.standin.EngineServer;
import org.verbenatray.standin.InMemoryLog.AppendFault;
import org.verbenatray.standin.ServiceServer;

/**
 * Injects the faults of a plan into a deployment and ends them again. Also tracks which instances receive load and
 * which changes are in progress.
 */
final class FaultInjector {
    /** The text that crashes any engine when a prompt contains it. */
    static final String POISON_TEXT = "poison";

    /** The time that a crashed engine is down, in milliseconds. */
    private static final long RESTART_MILLIS = 500;

    /**
     * The delay after which a leaving instance receives no more load, like a load balancer that reacts late, in
     * milliseconds.
     */
    private static final long BALANCER_LAG_MILLIS = 300;

    /** The delay after which the instance list reflects that an instance is leaving or was killed, in milliseconds. */
    private static final long LIST_LAG_MILLIS = 1_500;

    /** The time after which a leaving engine must not receive new requests, in milliseconds. */
    private static final long LEAVING_GRACE_MILLIS = 3_000;

    /** The age of the load reported by a lagging engine in milliseconds. */
    private static final long LOAD_LAG_MILLIS = 1_500;

    /** The response delay of a slow service in milliseconds. */
    private static final long SLOW_RESPONSE_MILLIS = 400;

    /** The interval between readiness checks of a new instance in milliseconds. */
    private static final long READY_POLL_MILLIS = 20;

    /** The time that an operator waits for the log, in milliseconds. */
    private static final long OPERATOR_TIMEOUT_MILLIS = 20_000;

    /** The number of instances below which no further instance is stopped. */
    private static final int MIN_LIVE_INSTANCES = 3;

    /** The number of appends or responses that one fault affects. */
    private static final int CALLS_PER_FAULT = 4;

    private final EmbeddedDeployment deployment;

    /** The instances that receive load. */
    private final List<Member> rotation = new CopyOnWriteArrayList<>();

    /** The client addresses of killed instances. */
    private final Set<String> killedAddresses = ConcurrentHashMap.newKeySet();

    /**
     * The engines that have left, with their number of received requests at the end of {@link #LEAVING_GRACE_MILLIS}.
     */
    private final Map<EngineServer, Long> attemptsWhenLeft = new ConcurrentHashMap<>();

    /** The engines that are leaving or have left. */
    private final Set<EngineServer> leavingEngines = ConcurrentHashMap.newKeySet();

    /** All asynchronous actions started so far. */
    private final List<CompletableFuture<?>> tasks = new CopyOnWriteArrayList<>();

    /** The number of injected crashes. */
    private final AtomicInteger injectedCrashes = new AtomicInteger();

    /** The number of the next new instance or published value, which makes it unique. */
    private final AtomicInteger nextNumber = new AtomicInteger(1);

    private final ConfigurationMonitor monitor;

    private final Violations violations;

    private final RunExecutors executors;

    /** The fraction of long reviews in the load. */
    private volatile double reviewFraction = 0.1;

    private FaultInjector(
            EmbeddedDeployment deployment,
            ConfigurationMonitor monitor,
            Violations violations,
            RunExecutors executors) {
        this.deployment = deployment;
        this.monitor = monitor;
        this.violations = violations;
        this.executors = executors;
        List<EntryInstance> entries = deployment.entries();
        for (int i = 0; i < entries.size(); i++) {
            rotation.add(Member.of(
                    "entry-" + (i + 1), FaultRun.SHAPE.failureDomains().get(i % 2), entries.get(i)));
        }
    }

    /** Returns an injector for a deployment and sets the baseline faults of its engines. */
    static FaultInjector create(
            EmbeddedDeployment deployment,
            ConfigurationMonitor monitor,
            Violations violations,
            RunExecutors executors) {
        FaultInjector injector = new FaultInjector(deployment, monitor, violations, executors);
        deployment.engines().forEach(engine -> engine.setFaults(baselineFaults()));
        return injector;
    }

    /** Returns the instances that receive load. */
    List<EntryInstance> liveInstances() {
        return rotation.stream().map(Member::entry).toList();
    }

    /** Returns the client addresses of the instances that receive load. */
    List<String> addresses() {
        return rotation.stream().map(Member::address).toList();
    }

    /** Returns the fraction of long reviews in the load. */
    double reviewFraction() {
        return reviewFraction;
    }

    /** Returns whether the instance with the given client address was killed. */
    boolean isKilled(String address) {
        return killedAddresses.contains(address);
    }

    /** Returns the number of crashes that were not injected, which the poison request caused. */
    int uninjectedCrashes() {
        int all = deployment.engines().stream().mapToInt(EngineServer::crashes).sum();
        return all - injectedCrashes.get();
    }

    /** Starts a fault. Throws {@link IllegalArgumentException} for {@link FaultKind#POISON}. */
    void inject(Fault fault) {
        switch (fault.kind()) {
            case ENGINE_CRASH -> {
                injectedCrashes.incrementAndGet();
                engine(fault).crash();
            }
            case SILENT_REPLIES -> engine(fault).silenceOpenResponses();
            case DAMAGED_LINES -> setEngineFaults(fault, baselineFaults().withDamagedLines(11, 7, 13, 97));
            case LAGGING_LOAD -> setEngineFaults(fault, baselineFaults().withLoadLagMillis(LOAD_LAG_MILLIS));
            case ENGINE_REPLACED -> replaceEngine(fault);
            case SLOW_SERVICE -> slowService(fault);
            case LOST_SERVICE_ANSWERS -> service(fault).dropResponses(CALLS_PER_FAULT);
            case PLATFORM_OUTAGE -> platformOutage(fault);
            case LOST_APPEND_ANSWERS -> injectAppendFaults(AppendFault.ANSWER_LOST);
            case LATE_APPENDS -> {
                injectAppendFaults(AppendFault.EFFECT_LATE);
                executors.schedule(fault.durationMillis(), deployment.platform().log()::releaseHeldCalls);
            }
            case INSTANCE_CUT -> cutInstance(fault);
            case INSTANCE_KILLED -> endInstance(fault, this::kill);
            case INSTANCE_REPLACED -> endInstance(fault, this::drain);
            case VERSION_CHANGE -> publish("versions.yaml", versionYaml());
            case RACING_EDITS -> runAsync(this::raceEdits);
            case MIX_SHIFT -> reviewFraction = 0.05 + 0.35 * (fault.target() % 10) / 10;
            default -> throw new IllegalArgumentException(fault.kind() + " is injected by the load generator");
        }
    }

    /** Ends all faults that are still in effect. */
    void clearFaults() {
        deployment.platform().setUnavailable(false);
        deployment.platform().log().clearAppendFaults();
        deployment.platform().log().releaseHeldCalls();
        rotation.forEach(member -> deployment.platformEndpoint(member.name()).setUnreachable(false));
        deployment.engines().forEach(engine -> engine.setFaults(baselineFaults()));
        deployment.services().forEach(service -> {
            service.dropResponses(0);
            service.setResponseDelayMillis(0);
        });
    }

    /** Returns a future that completes when all asynchronous actions have completed. */
    CompletableFuture<Void> allCompleted() {
        return CompletableFuture.allOf(tasks.toArray(CompletableFuture[]::new));
    }

    /** Verifies that no engine received requests after it had left or conflicting orders. */
    void verify() {
        attemptsWhenLeft.forEach((engine, before) -> violations.addUnless(
                engine.dispatchAttempts() == before,
                engine.name() + " got " + (engine.dispatchAttempts() - before) + " requests after it had left"));
        deployment
                .engines()
                .forEach(engine -> violations.addUnless(
                        engine.conflictingOrders() == 0,
                        engine.name() + " got " + engine.conflictingOrders() + " conflicting orders"));
    }

    /** Publishes a configuration file asynchronously. */
    void publish(String file, String content) {
        runAsync(() -> {
            try {
                monitor.recordVerdict(deployment.publish(file, content));
            } catch (IOException | LogUnavailableException e) {
                // The verdict is unknown because the outage exceeded the timeout of the operator.
            }
        });
    }

    /** Returns the faults that are set at all times: the poison text and a short restart time. */
    private static EngineFaults baselineFaults() {
        return EngineFaults.none().withCrashOn(POISON_TEXT).withRestartMillis(RESTART_MILLIS);
    }

    /** Returns the target engine of a fault among those that are not leaving. */
    private EngineServer engine(Fault fault) {
        List<EngineServer> present = deployment.engines().stream()
                .filter(engine -> !leavingEngines.contains(engine))
                .toList();
        return present.get(fault.target() % present.size());
    }

    /** Returns the target plain service of a fault. */
    private ServiceServer service(Fault fault) {
        return deployment.services().get(fault.target() % deployment.services().size());
    }

    /** Sets the faults of the target engine for the duration of the fault. */
    private void setEngineFaults(Fault fault, EngineFaults faults) {
        EngineServer engine = engine(fault);
        engine.setFaults(faults);
        executors.schedule(fault.durationMillis(), () -> engine.setFaults(baselineFaults()));
    }

    /** Makes an engine leave and replaces it with a new one in the configuration. */
    private void replaceEngine(Fault fault) {
        EngineServer old = engine(fault);
        int index = deployment.engines().indexOf(old);
        leavingEngines.add(old);
        old.startLeaving();
        executors.schedule(LIST_LAG_MILLIS, () -> deployment.registerEngine(index, true));
        executors.schedule(LEAVING_GRACE_MILLIS, () -> attemptsWhenLeft.put(old, old.dispatchAttempts()));
        int replacement = deployment.addEngine();
        deployment.engines().get(replacement).setFaults(baselineFaults());
        publish("replacement-" + replacement + ".yaml", deployment.replacementYaml(index, replacement));
    }

    /** Delays the responses of a plain service for the duration of the fault. */
    private void slowService(Fault fault) {
        ServiceServer service = service(fault);
        service.setResponseDelayMillis(SLOW_RESPONSE_MILLIS);
        executors.schedule(fault.durationMillis(), () -> service.setResponseDelayMillis(0));
    }

    /** Makes the platform unavailable for the duration of the fault. */
    private void platformOutage(Fault fault) {
        deployment.platform().setUnavailable(true);
        executors.schedule(fault.durationMillis(), () -> deployment.platform().setUnavailable(false));
    }

    private void injectAppendFaults(AppendFault fault) {
        AppendFault[] faults =
                IntStream.range(0, CALLS_PER_FAULT).mapToObj(i -> fault).toArray(AppendFault[]::new);
        deployment.platform().log().injectAppendFaults(faults);
    }

    /** Makes the platform unreachable for one instance for the duration of the fault. */
    private void cutInstance(Fault fault) {
        String name = member(fault).name();
        deployment.platformEndpoint(name).setUnreachable(true);
        executors.schedule(
                fault.durationMillis(), () -> deployment.platformEndpoint(name).setUnreachable(false));
    }

    /**
     * Stops the target instance in the given way and starts another one. Does nothing if too few instances receive
     * load.
     */
    private void endInstance(Fault fault, Consumer<Member> end) {
        if (rotation.size() < MIN_LIVE_INSTANCES) {
            return;
        }
        Member member = member(fault);
        runAsync(() -> startReplacement(member));
        end.accept(member);
    }

    /** Stops an instance without draining. */
    private void kill(Member member) {
        killedAddresses.add(member.address());
        rotation.remove(member);
        runAsync(member.entry()::close);
        executors.schedule(LIST_LAG_MILLIS, () -> deployment.platform().removeInstance(member.name()));
    }

    /** Drains an instance, which still receives load for {@link #BALANCER_LAG_MILLIS}. */
    private void drain(Member member) {
        runAsync(member.entry()::drainAndClose);
        executors.schedule(BALANCER_LAG_MILLIS, () -> rotation.remove(member));
    }

    /** Starts an instance that replaces another one and sends load to it once it is ready. */
    private void startReplacement(Member old) {
        List<InetSocketAddress> peers = rotation.stream()
                .filter(member -> member != old)
                .map(member -> new InetSocketAddress("127.0.0.1", member.entry().peersPort()))
                .toList();
        String name = "entry-new-" + nextNumber.getAndIncrement();
        try {
            Member added = Member.of(name, old.domain(), deployment.startEntry(name, old.domain(), peers));
            addWhenReady(added);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Adds an instance to those that receive load once it is ready. */
    private void addWhenReady(Member member) {
        if (member.entry().isReady()) {
            rotation.add(member);
        } else {
            executors.schedule(READY_POLL_MILLIS, () -> addWhenReady(member));
        }
    }

    /** Lets two operators edit one file concurrently from the same state. At most one edit may be accepted. */
    private void raceEdits() {
        String address = deployment.platform().address();
        try (LogSession one = LogSession.open("operator-one", address, OPERATOR_TIMEOUT_MILLIS);
                LogSession two = LogSession.open("operator-two", address, OPERATOR_TIMEOUT_MILLIS)) {
            var view = one.configuration();
            if (view.offset() != two.configuration().offset()) {
                return;
            }
            int number = nextNumber.getAndIncrement();
            long base = Optional.ofNullable(view.files().get("race.yaml"))
                    .map(found -> found.offset())
                    .orElse(-1L);
            var first = CompletableFuture.supplyAsync(
                    () -> edit(one, base, view.offset(), 10_000 + number), executors.blockingExecutor());
            var second = CompletableFuture.supplyAsync(
                    () -> edit(two, base, view.offset(), 20_000 + number), executors.blockingExecutor());
            Verdict firstVerdict = first.join();
            Verdict secondVerdict = second.join();
            monitor.recordVerdict(firstVerdict);
            monitor.recordVerdict(secondVerdict);
            violations.addUnless(
                    !firstVerdict.isAccepted() || !secondVerdict.isAccepted(),
                    "both racing edits were accepted: " + firstVerdict + " " + secondVerdict);
        } catch (IOException | LogUnavailableException | CompletionException e) {
            // The verdicts are unknown because the outage exceeded the timeout of the operators.
        }
    }

    private static Verdict edit(LogSession session, long base, long follows, int maxOpen) {
        String content = "customers:\n  embedded:\n    maxOpen: " + maxOpen + "\n";
        FileChange change = new FileChange("race.yaml", Optional.of(content), base);
        return session.append(new ConfigurationChange(List.of(change)), Optional.of(follows));
    }

    /** Returns a configuration file with a new version of a model. */
    private String versionYaml() {
        return "models:\n  quick-check:\n    version: \"new-" + nextNumber.getAndIncrement() + "\"\n";
    }

    private Member member(Fault fault) {
        return rotation.get(fault.target() % rotation.size());
    }

    /** Runs an action that may block, asynchronously. */
    private void runAsync(Runnable action) {
        tasks.add(CompletableFuture.runAsync(action, executors.blockingExecutor()));
    }

    /**
     * An instance that receives load.
     *
     * @param name its name
     * @param domain its failure domain
     * @param entry the instance
     * @param address its client address, kept here because a stopped instance no longer has one
     */
    private record Member(String name, String domain, EntryInstance entry, String address) {
        /** Returns a member for a running instance. */
        static Member of(String name, String domain, EntryInstance entry) {
            return new Member(name, domain, entry, entry.callersAddress());
        }
    }
}
