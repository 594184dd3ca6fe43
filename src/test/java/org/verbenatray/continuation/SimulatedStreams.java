package org.verbenatray.continuation;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.backends.BackendEntry;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.openwork.ExchangePeers;
import org.verbenatray.openwork.ListedInstance;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.ManualTime;

/**
 * A model of instances that begin and continue streams while servers of several versions come and go, instances end and
 * start again, datagrams are lost and late, and failure domains are cut off from one another. Used on one thread.
 */
final class SimulatedStreams {
    private static final int INSTANCES = 6;

    private static final int DOMAINS = 3;

    private static final long LIST_CURRENT_MILLIS = 2_000;

    private static final long LIST_READ_MILLIS = 700;

    private final ManualTime time = new ManualTime();
    private final Random random;
    private final double lossRate;
    private final Map<String, BackendEntry> listed = new HashMap<>();
    private final List<Instance> instances = new ArrayList<>();
    private final Map<String, String> versionByStream = new HashMap<>();

    /** The failure domain that is cut off from the others and from the list, -1 for none. */
    private int cutDomain = -1;

    private int servers;
    private int streams;
    private int continued;
    private int refused;
    private int wrong;

    SimulatedStreams(long seed, double lossRate) {
        random = new Random(seed);
        this.lossRate = lossRate;
        for (int number = 0; number < 4; number++) {
            addServer("v1");
        }
        for (int number = 0; number < INSTANCES; number++) {
            instances.add(new Instance(number));
        }
        advance(40_000);
    }

    /** Returns the number of streams that were continued at the version that began them. */
    int continued() {
        return continued;
    }

    /** Returns the number of streams that were not continued. */
    int refused() {
        return refused;
    }

    /** Returns the number of streams that were continued at another version. */
    int wrong() {
        return wrong;
    }

    /** Lists a new server. */
    void addServer(String version) {
        String id = "i-" + servers++;
        listed.put(
                id,
                new BackendEntry(
                        id,
                        "s",
                        URI.create("http://127.0.0.1:1"),
                        "d",
                        BackendStage.DECODE,
                        false,
                        8,
                        version,
                        false,
                        1));
    }

    /** Takes a server off the list. */
    void removeServer() {
        if (listed.size() > 1) {
            listed.remove(pick(new ArrayList<>(listed.keySet())));
        }
    }

    /** Starts a server again under its id with another version. */
    void restartServer(String version) {
        BackendEntry old = listed.get(pick(new ArrayList<>(listed.keySet())));
        listed.put(
                old.id(),
                new BackendEntry(
                        old.id(),
                        "s",
                        old.address(),
                        "d",
                        BackendStage.DECODE,
                        false,
                        8,
                        version,
                        false,
                        old.startedMillis() + 1));
    }

    /** Ends an instance and starts it again without any memory. */
    void restartInstance() {
        int number = random.nextInt(INSTANCES);
        instances.get(number).stopped = true;
        instances.set(number, new Instance(number));
    }

    /** Cuts a failure domain off, or heals the cut. */
    void cutOrHeal() {
        cutDomain = cutDomain < 0 ? random.nextInt(DOMAINS) : -1;
    }

    /** Begins a stream at an instance and takes it up at another some time later. */
    void runStream() {
        Instance first = pick(instances);
        List<Backend> known = new ArrayList<>(first.directory.usable("s"));
        known.removeIf(
                server -> !server.entry().equals(listed.get(server.entry().id())));
        if (known.isEmpty()) {
            return;
        }
        Backend server = pick(known);
        String id = "r" + streams++;
        versionByStream.put(id, server.entry().softwareVersion());
        first.continuations.recordServer(id, server);
        time.runAt(Deadline.afterMillis(time.nanos(), 50 + random.nextInt(4_000)), () -> takeUp(id));
    }

    private void takeUp(String id) {
        pick(instances).continuations.findVersion(Optional.of(id), "s", version -> {
            if (version.isEmpty()) {
                refused++;
            } else if (version.get().equals(versionByStream.get(id))) {
                continued++;
            } else {
                wrong++;
            }
        });
    }

    /** Lets time pass. */
    void advance(long millis) {
        time.advanceMillis(millis);
    }

    private <T> T pick(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    private static InetSocketAddress address(int number) {
        return new InetSocketAddress("127.0.0.1", 1_000 + number);
    }

    private static int domain(int number) {
        return number % DOMAINS;
    }

    private boolean cut(int from, int to) {
        return domain(from) != domain(to) && (domain(from) == cutDomain || domain(to) == cutDomain);
    }

    /** Delivers a datagram after a delay, unless it is lost. */
    private void deliver(int from, InetSocketAddress to, byte[] datagram) {
        int receiver = to.getPort() - 1_000;
        if (random.nextDouble() < lossRate || cut(from, receiver)) {
            return;
        }
        time.runAt(
                Deadline.afterMillis(time.nanos(), 1 + random.nextInt(5)),
                () -> instances.get(receiver).continuations.receive(datagram));
    }

    /** One process of an instance. */
    private final class Instance {
        private final int number;
        private final BackendDirectory directory;
        private final RecentVersions versions;
        private final StreamContinuations continuations;
        private boolean stopped;

        Instance(int number) {
            this.number = number;
            directory = BackendDirectory.empty(time, this::recordEnded);
            versions = RecentVersions.create(directory, time, LIST_CURRENT_MILLIS);
            ExchangePeers peers = ExchangePeers.of("m" + number, "d" + domain(number));
            for (int other = 0; other < INSTANCES; other++) {
                peers.put("m" + other, new ListedInstance(address(other), "d" + domain(other)));
            }
            continuations = StreamContinuations.create(
                    versions,
                    directory,
                    peers::homes,
                    (to, datagram) -> deliver(number, to, datagram),
                    time,
                    this::runUnlessStopped);
            continuations.setOwnAddress(address(number));
            readList();
        }

        private void recordEnded(Backend backend) {
            versions.recordEnded(backend);
        }

        private void runUnlessStopped(Deadline when, Runnable task) {
            time.runAt(when, () -> {
                if (!stopped) {
                    task.run();
                }
            });
        }

        private void readList() {
            if (domain(number) != cutDomain) {
                directory.replace(
                        listed.values().stream()
                                .map(entry -> new BackendDirectory.Listing(entry, 1))
                                .toList(),
                        listed.values().stream().map(BackendEntry::id).collect(Collectors.toSet()));
                versions.recordListRead();
            }
            continuations.tellWhenMixed();
            runUnlessStopped(Deadline.afterMillis(time.nanos(), LIST_READ_MILLIS), this::readList);
        }
    }
}
