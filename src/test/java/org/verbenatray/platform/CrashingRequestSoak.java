package org.verbenatray.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.verbenatray.instance.RelayInstance;
import org.verbenatray.platform.FakeStore.Fault;
import org.verbenatray.platform.ScriptedServer.Request;

/**
 * A run of several relay instances with a store and servers of our own, in which a few requests end each server that
 * runs them and come again at any instance, while instances are killed and replaced and the store is away.
 *
 * <p>Played by hand: {@code CrashingRequestSoak SEED COUNT SECONDS}. Prints one line per seed with the number of
 * sendings that came later than the contact time after the third end, by instances in touch.
 */
final class CrashingRequestSoak {
    private static final int INSTANCES = 6;
    private static final int PLAIN_SERVERS = 9;
    private static final int ENGINES = 11;
    private static final int CALLERS = 8;
    /** How the servers of each crashing request end, and whether they have sent the head of a response before. */
    private static final List<String> ENDINGS =
            List.of("reset", "dark", "mixed", "head-reset", "head-dark", "unframed", "head-mixed", "unframed-dark");

    /** The number of addresses from which a crashing request comes. */
    private static final int ADDRESSES = 30;

    private static final List<String> PATHS = List.of("/unsafe/", "/resume/", "/safe/", "/stream/");

    /** The time after which an instance without a fault counts as in touch. */
    private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Random random;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(32);
    private final FakeStore store = FakeStore.startOnPorts(INSTANCES);
    private final RelayInstance[] instances = new RelayInstance[INSTANCES];

    /** When each instance last suffered a fault, in nanoseconds. */
    private final long[] lastFaultNanos = new long[INSTANCES];

    private final boolean[] storeAway = new boolean[INSTANCES];
    private final List<SoakServer> servers = new ArrayList<>();
    private final Map<String, History> histories = new ConcurrentHashMap<>();
    private final AtomicInteger refusedInnocents = new AtomicInteger();
    private final AtomicInteger servedInnocents = new AtomicInteger();
    private final AtomicInteger requestNumber = new AtomicInteger();
    private volatile boolean over;

    private CrashingRequestSoak(long seed) {
        this.random = new Random(seed);
    }

    /** Plays seeds from a first one on, each for some seconds. */
    public static void main(String[] args) throws Exception {
        long first = Long.parseLong(args[0]);
        int broken = 0;
        for (long seed = first; seed < first + Integer.parseInt(args[1]); seed++) {
            String verdict = new CrashingRequestSoak(seed).play(Integer.parseInt(args[2]));
            System.out.println("soak seed=" + seed + " " + verdict);
            broken += verdict.startsWith("BROKEN") ? 1 : 0;
        }
        System.out.println("soak seeds=" + args[1] + " broken=" + broken);
        System.exit(0);
    }

    private String play(int seconds) throws Exception {
        store.put("keyed.op", "config", RelayFixture.configurationJson(1));
        store.retainOnly(6);
        for (int number = 0; number < PLAIN_SERVERS; number++) {
            servers.add(startServer("p" + number, ""));
        }
        for (int number = 0; number < ENGINES; number++) {
            servers.add(startServer("e" + number, number < 2 ? "prefill" : "decode"));
        }
        for (int number = 0; number < INSTANCES; number++) {
            startInstance(number);
        }
        TimeUnit.SECONDS.sleep(2);
        for (int number = 0; number < ENDINGS.size(); number++) {
            String path = PATHS.get((number + random.nextInt(PATHS.size())) % PATHS.size()) + "x";
            String body = "poison-" + ENDINGS.get(number) + "-" + number;
            histories.put(body, new History());
            timers.schedule(() -> sendCrashing(path, body), random.nextInt(8_000), TimeUnit.MILLISECONDS);
        }
        for (int caller = 0; caller < CALLERS; caller++) {
            timers.scheduleWithFixedDelay(this::sendInnocent, caller, 100, TimeUnit.MILLISECONDS);
        }
        timers.schedule(this::startFault, 1_000, TimeUnit.MILLISECONDS);
        TimeUnit.SECONDS.sleep(seconds);
        over = true;
        timers.shutdownNow();
        for (SoakServer server : servers) {
            server.close();
        }
        for (RelayInstance instance : instances) {
            if (instance != null) {
                instance.close();
            }
        }
        store.close();
        return verdict();
    }

    private SoakServer startServer(String name, String stage) throws IOException {
        return SoakServer.start(
                name, stage, this::putServer, timers, new Random(random.nextLong()), this::recordCrashingRequest);
    }

    /** Writes the entry of a server while any part of the store is there. */
    private boolean putServer(String id, String value) {
        synchronized (storeAway) {
            for (boolean away : storeAway) {
                if (!away) {
                    store.put("keyed.servers", id, value);
                    return true;
                }
            }
            return false;
        }
    }

    private synchronized void startInstance(int number) {
        try {
            instances[number] = RelayFixture.startInstance(store.address(number), "m" + number);
            lastFaultNanos[number] = System.nanoTime();
        } catch (IOException e) {
            throw new IllegalStateException("the instance cannot be started", e);
        }
    }

    private synchronized void killInstance(int number) {
        if (instances[number] == null || over) {
            return;
        }
        instances[number].close();
        instances[number] = null;
        timers.schedule(() -> startInstance(number), 700, TimeUnit.MILLISECONDS);
    }

    /** Begins a fault and schedules the next one. */
    private void startFault() {
        int kind = random.nextInt(6);
        Fault fault = List.of(Fault.NO_RESPONSE, Fault.BUSY, Fault.RESET).get(random.nextInt(3));
        switch (kind) {
            case 0, 1 -> storeFault(fault, INSTANCES, 4_000 + random.nextInt(6_000));
            case 2 -> storeFault(fault, 1 + random.nextInt(INSTANCES - 1), 3_000 + random.nextInt(6_000));
            case 3 -> killInstance(random.nextInt(INSTANCES));
            case 4 -> {
                for (int number = 0; number < INSTANCES; number++) {
                    int each = number;
                    timers.schedule(() -> killInstance(each), number * 1_200L, TimeUnit.MILLISECONDS);
                }
            }
            default -> {
                for (SoakServer server : servers) {
                    if (random.nextInt(10) < 4) {
                        server.end(random.nextInt(3) == 0 ? SoakServer.Ending.DARK : SoakServer.Ending.RESET);
                    }
                }
            }
        }
        timers.schedule(this::startFault, 4_000 + random.nextInt(8_000), TimeUnit.MILLISECONDS);
    }

    /** Takes the store away from some instances. */
    private void storeFault(Fault fault, int count, long millis) {
        setStoreFault(fault, count);
        timers.schedule(() -> setStoreFault(Fault.NONE, count), millis, TimeUnit.MILLISECONDS);
    }

    private void setStoreFault(Fault fault, int count) {
        synchronized (storeAway) {
            for (int number = 0; number < INSTANCES; number++) {
                lastFaultNanos[number] = System.nanoTime();
                if (number < count) {
                    store.setFault(number, fault);
                    storeAway[number] = fault != Fault.NONE;
                }
            }
        }
    }

    /** Sends a crashing request to a random instance and comes again after it has ended. */
    private void sendCrashing(String path, String body) {
        exchange(path, body);
        if (!over) {
            long pauseMillis = ThreadLocalRandom.current().nextInt(100, 900);
            timers.schedule(() -> sendCrashing(path, body), pauseMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void sendInnocent() {
        int number = requestNumber.get();
        String path = PATHS.get(number % PATHS.size()) + "y";
        String response = exchange(path, "fine" + number);
        if (response.contains("crashes_servers")) {
            refusedInnocents.incrementAndGet();
        } else if (response.startsWith("HTTP/1.1 200")) {
            servedInnocents.incrementAndGet();
        }
    }

    /**
     * Sends a request to a random instance, mostly to one that is ready; the request's id begins with its number.
     * Returns the response, empty if there is none.
     */
    private String exchange(String path, String body) {
        int number = ThreadLocalRandom.current().nextInt(INSTANCES);
        RelayInstance instance = instances[number];
        boolean any = ThreadLocalRandom.current().nextInt(10) == 0;
        if (instance == null || !any && !instance.isReady()) {
            return "";
        }
        String id = number + "-" + requestNumber.incrementAndGet();
        try {
            String address = "127.0.0." + ThreadLocalRandom.current().nextInt(1, ADDRESSES + 1);
            return RelayFixture.exchangeFrom(address, instance, RelayFixture.postRequest(path, id, "", body));
        } catch (IOException e) {
            // The instance was killed.
            return "";
        }
    }

    private void recordCrashingRequest(Request request, boolean ended) {
        int instance = Integer.parseInt(request.header("request-id").split("-")[0]);
        History history = histories.get(request.body());
        synchronized (history) {
            long now = System.nanoTime();
            history.sendings++;
            if (history.ends >= 3 && now - history.thirdEndNanos > CONTACT_NANOS && isInTouch(instance, now)) {
                history.lateSendings++;
            }
            if (ended) {
                history.ends++;
                history.thirdEndNanos = history.ends == 3 ? now : history.thirdEndNanos;
            }
        }
    }

    private boolean isInTouch(int instance, long now) {
        synchronized (storeAway) {
            for (boolean away : storeAway) {
                if (away) {
                    return false;
                }
            }
            return now - lastFaultNanos[instance] > CONTACT_NANOS;
        }
    }

    private String verdict() {
        Map<String, String> each = new TreeMap<>();
        boolean broken = false;
        for (Map.Entry<String, History> entry : histories.entrySet()) {
            History history = entry.getValue();
            broken |= history.lateSendings > 3;
            each.put(entry.getKey(), history.lateSendings + "/" + history.sendings + "/" + history.ends);
        }
        return (broken ? "BROKEN" : "kept") + " late/sent/ended " + each + " innocent served " + servedInnocents
                + " refused " + refusedInnocents;
    }

    /** What one crashing request did. */
    private static final class History {
        private int sendings;
        private int ends;
        private int lateSendings;
        private long thirdEndNanos;
    }
}
