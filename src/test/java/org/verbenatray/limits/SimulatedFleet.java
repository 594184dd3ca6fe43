package org.verbenatray.limits;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.verbenatray.openwork.ExchangePeers;
import org.verbenatray.openwork.ListedInstance;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.ManualTime;

/**
 * Instances that send requests to servers with limits, over a network with delay and loss, in simulated time. Each
 * request arrives at a random instance and goes to a random server among those whose limits admit it.
 */
final class SimulatedFleet {
    private static final long ANSWER_MILLIS = 20;

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);

    private static final long NOTICE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long TOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final ManualTime time = new ManualTime();
    private final Random random;
    private final List<Instance> instances = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();

    /** The share of notices that are lost. */
    private double loss;

    private long noticeBytes;

    SimulatedFleet(int size, long seed) {
        random = new Random(seed);
        for (int number = 0; number < size; number++) {
            instances.add(new Instance(number, size, number));
        }
        instances.forEach(instance -> instance.limits.startConfirming());
    }

    /** Adds a server with the given limit in requests a second. */
    Server addServer(double limit) {
        Server server = new Server("s" + servers.size() + "@1", limit);
        servers.add(server);
        return server;
    }

    /** Loses the given share of notices from now on. */
    void setLoss(double share) {
        loss = share;
    }

    /** Separates an instance from all others, or joins it to them again. */
    void setCutOff(int instance, boolean cutOff) {
        instances.get(instance).cutOff = cutOff;
    }

    /** Replaces an instance by a new process of the same name, which knows nothing. */
    void restart(int number) {
        Instance old = instances.get(number);
        old.stopped = true;
        Instance started = new Instance(number, instances.size(), old.incarnation + 1);
        instances.set(number, started);
        started.limits.startConfirming();
    }

    /** Runs a number of seconds in which callers send the given number of requests a second to each server. */
    void run(double seconds, double requestsPerSecond) {
        long end = time.nanos() + (long) (seconds * 1e9);
        double totalRate = requestsPerSecond * servers.size();
        double next = time.nanos();
        while (true) {
            next += -Math.log(1 - random.nextDouble()) / totalRate * 1e9;
            if (next >= end) {
                break;
            }
            time.runAt(new Deadline((long) next), this::sendOne);
        }
        time.advanceMillis((end - time.nanos()) / 1_000_000);
    }

    /** Returns the bytes of notices sent a second and instance. */
    double noticeBytesPerSecond() {
        return noticeBytes / (time.nanos() / 1e9) / instances.size();
    }

    private void sendOne() {
        Instance instance = instances.get(random.nextInt(instances.size()));
        List<Server> admitting = servers.stream()
                .filter(server -> instance.limits.admits(server.boot))
                .toList();
        if (!admitting.isEmpty()) {
            Server server = admitting.get(random.nextInt(admitting.size()));
            instance.limits.recordSending(server.boot);
            time.runAt(Deadline.afterMillis(time.nanos(), 1), () -> server.receive(instance));
        }
    }

    private void deliver(Instance from, InetSocketAddress address, byte[] datagram) {
        noticeBytes += datagram.length;
        Instance to = instances.get(address.getPort() - 1);
        if (from.stopped || from.cutOff || to.cutOff || random.nextDouble() < loss) {
            return;
        }
        time.runAt(
                Deadline.afterMillis(time.nanos(), 1 + random.nextInt(3)),
                () -> instances.get(address.getPort() - 1).limits.receive(datagram));
    }

    /** One process of an instance. */
    private final class Instance {
        private final String name;
        private final long incarnation;
        private final ServerLimits limits;
        private boolean cutOff;
        private boolean stopped;

        Instance(int number, int size, long incarnation) {
            this.name = "m" + number;
            this.incarnation = incarnation;
            ExchangePeers peers = ExchangePeers.of(name, domain(number));
            Map<String, ListedInstance> listed = new HashMap<>();
            for (int other = 0; other < size; other++) {
                InetSocketAddress address = InetSocketAddress.createUnresolved("host", other + 1);
                listed.put("m" + other, new ListedInstance(address, domain(other)));
            }
            peers.replace(listed);
            this.limits = ServerLimits.create(
                    new ServerLimits.Sender(name, incarnation, (to, datagram) -> deliver(this, to, datagram)),
                    peers::limitSharers,
                    peers::selectedAddresses,
                    time,
                    time);
        }

        private String domain(int number) {
            return "z" + number % 3;
        }
    }

    /** A server that states its limit in each answer, and counts what it receives as the users' rule does. */
    final class Server {
        private final String boot;
        private final Map<Instance, Long> toldNanos = new HashMap<>();
        private final List<Long> arrivals = new ArrayList<>();

        /** The arrivals in the last seconds that the rule counts, oldest first. */
        private final Deque<Long> window = new ArrayDeque<>();

        private OptionalDouble limit;
        private long firstNamedNanos = -1;
        private int mostInWindow;

        Server(String boot, double limit) {
            this.boot = boot;
            this.limit = OptionalDouble.of(limit);
        }

        /** States no limit any more. */
        void endLimit() {
            limit = OptionalDouble.empty();
        }

        /** Returns the largest number of requests in 4 s that the rule counts. */
        int mostInWindow() {
            return mostInWindow;
        }

        /** Returns the number of requests received in the last seconds. */
        long receivedSince(double seconds) {
            return arrivals.stream()
                    .filter(at -> time.nanos() - at <= seconds * 1e9)
                    .count();
        }

        private void receive(Instance from) {
            long now = time.nanos();
            arrivals.add(now);
            if (limit.isPresent() && firstNamedNanos < 0) {
                firstNamedNanos = now;
            }
            Long told = toldNanos.get(from);
            if (told != null && now - told >= TOLD_NANOS && now - firstNamedNanos >= NOTICE_NANOS) {
                window.add(now);
                while (now - window.peekFirst() > WINDOW_NANOS) {
                    window.removeFirst();
                }
                mostInWindow = limit.isPresent() ? Math.max(mostInWindow, window.size()) : mostInWindow;
            }
            OptionalDouble stated = limit;
            time.runAt(Deadline.afterMillis(now, ANSWER_MILLIS), () -> {
                if (stated.isPresent()) {
                    toldNanos.putIfAbsent(from, time.nanos());
                }
                from.limits.recordAnswer(boot, stated);
            });
        }
    }
}
