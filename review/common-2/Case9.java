import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** One part of prompts crashes each engine; the requests with it come at a machine that has few others. */
final class Case9 {
    private static final int ENGINES = 12;

    private static final int SOUND_CALLERS_PER_RELAY = 15;

    private static final int EVENTS = 9;

    private static final int EVENT_GAP_MILLIS = 40;

    private static final long DOWN_MILLIS = 3_000;

    private static final long BETWEEN_MILLIS = 700;

    /** The time between two requests without the part at the machine at which those with it come. */
    private static final long RARE_MILLIS = 8_000;

    private static final long TROUBLE_MILLIS = 40_000;

    private static final long CONTACT_MILLIS = 3_000;

    private static final String DEADLY_PART = "dead0001";

    private static final AtomicInteger STARTS = new AtomicInteger();

    /** When each engine crashed, in milliseconds since the start of the script. */
    private static final List<Long> CRASHES = new ArrayList<>();

    /** When requests with the part reached an engine, and at which machine they had come. */
    private static final List<Long> ARRIVALS = new ArrayList<>();

    /** The requests without the part that engines were running as they crashed. */
    private static final AtomicInteger CUT = new AtomicInteger();

    private static volatile boolean stopped;

    private Case9() {}

    public static void main(String[] args) throws Exception {
        Lab.openRecord();
        Lab.Store store = new Lab.Store();
        store.put("keyed.op", "config", Lab.configuration(1));
        for (int index = 0; index < ENGINES; index++) {
            new Engine(store, Lab.ip(index + 11), 0, "z" + (index % 3 + 1)).start();
        }
        int internal = Lab.freeInternalPorts(Lab.ip(2), Lab.ip(3), Lab.ip(4));
        List<Lab.Relay> relays = new ArrayList<>();
        for (int index = 1; index <= 3; index++) {
            relays.add(new Lab.Relay("front-z" + index + "-1", Lab.ip(index + 1), "z" + index, store, internal)
                    .start(true));
        }
        for (Lab.Relay relay : relays) {
            relay.awaitReady(30_000);
        }
        Map<String, Integer> sound = new ConcurrentHashMap<>();
        Map<String, Integer> deadly = new ConcurrentHashMap<>();
        for (Lab.Relay relay : relays.subList(1, 3)) {
            for (int index = 0; index < SOUND_CALLERS_PER_RELAY; index++) {
                int caller = index;
                Lab.daemon(() -> callSound(relay, caller, sound));
            }
        }
        Lab.sleep(6_000);
        Lab.note("before the disruption, requests without the part: " + sound);
        long end = Lab.millis() + TROUBLE_MILLIS;
        Lab.daemon(() -> callRarely(relays.get(0), sound));
        Lab.note(Lab.TROUBLE ? "requests with the part come at " + relays.get(0).name : "no disruption");
        while (Lab.millis() < end) {
            Lab.daemon(() -> callDeadly(relays.get(0), deadly));
            Lab.sleep(BETWEEN_MILLIS);
        }
        stopped = true;
        Lab.sleep(4_500);
        Lab.note("requests without the part: " + sound);
        Lab.note("requests at " + relays.get(0).name + ": " + deadly);
        judge();
    }

    private static void judge() {
        synchronized (CRASHES) {
            int crashes = CRASHES.size();
            if (crashes < 5) {
                Lab.verdict(false, crashes + " engines crashed");
            }
            long from = CRASHES.get(4) + CONTACT_MILLIS;
            long late = ARRIVALS.stream().filter(at -> at > from).count();
            Lab.verdict(late > 3, late + " requests with the part reached engines later than 3 s after the fifth crash; "
                    + crashes + " engines crashed, under " + CUT + " requests without the part");
        }
    }

    private static void callSound(Lab.Relay relay, int caller, Map<String, Integer> outcomes) {
        Lab.sleep(caller * 27L);
        while (!stopped) {
            Lab.Attempt attempt = send(relay, caller % 3 == 0 ? "/review/" : "/check/", "5c1e07a2");
            outcomes.merge(attempt.outcome(), 1, Integer::sum);
            Lab.sleep("200".equals(attempt.outcome()) ? 50 : 300);
        }
    }

    /** The few requests without the part that come at the machine with the others. */
    private static void callRarely(Lab.Relay relay, Map<String, Integer> outcomes) {
        while (!stopped) {
            Lab.Attempt attempt = send(relay, "/check/", "5c1e07a2");
            outcomes.merge(attempt.outcome() + " at " + relay.name, 1, Integer::sum);
            Lab.sleep(RARE_MILLIS);
        }
    }

    /** Sends one request with the part; with TROUBLE=0 one without it. No two are alike. */
    private static void callDeadly(Lab.Relay relay, Map<String, Integer> outcomes) {
        Lab.Attempt attempt = send(relay, "/review/", Lab.TROUBLE ? DEADLY_PART : "5c1e07a2");
        outcomes.merge(attempt.outcome(), 1, Integer::sum);
    }

    private static Lab.Attempt send(Lab.Relay relay, String path, String part) {
        byte[] body = new byte[380];
        ThreadLocalRandom.current().nextBytes(body);
        String last = Integer.toHexString(ThreadLocalRandom.current().nextInt() | 0x10000000);
        return Lab.send(relay.ip, relay.front, "POST", path + last, 4000, Map.of("Model", "m", "Token-Count",
                "291," + EVENTS, "Prompt-Prefix", part + ":92," + last + ":199"), body);
    }

    private static final class Engine extends Lab.Server {
        private final AtomicInteger running = new AtomicInteger();

        private boolean crashed;

        Engine(Lab.Store store, String address, int port, String zone) {
            super(store, address, port, "e" + STARTS.incrementAndGet(), "llm", zone, "decode", "v1", 64);
        }

        @Override
        boolean run(Lab.Head head, byte[] body, Socket channel, OutputStream out) throws IOException {
            boolean deadly = head.get("Prompt-Prefix").startsWith(DEADLY_PART);
            if (deadly) {
                synchronized (CRASHES) {
                    ARRIVALS.add(Lab.millis());
                }
                Lab.sleep(EVENT_GAP_MILLIS);
                crash(head.get("Request-Id"));
                return false;
            }
            running.incrementAndGet();
            startStream(head, out);
            String last = head.get("Last-Event-Id");
            for (long number = last == null ? 1 : Long.parseLong(last) + 1; number <= EVENTS; number++) {
                Lab.sleep(EVENT_GAP_MILLIS);
                chunk(out, event(number, "token " + number));
            }
            out.write(Lab.ascii("0\r\n\r\n"));
            out.flush();
            running.decrementAndGet();
            return true;
        }

        /** Ends this engine as in a crash; one of another id is at its address some seconds later. */
        private synchronized void crash(String request) {
            if (crashed) {
                return;
            }
            crashed = true;
            int cut = running.get();
            CUT.addAndGet(cut);
            synchronized (CRASHES) {
                CRASHES.add(Lab.millis());
                Lab.note(id + " crashes under " + request + ", crash " + CRASHES.size() + "; it ran " + cut
                        + " others");
            }
            end();
            Lab.daemon(() -> {
                Lab.sleep(DOWN_MILLIS);
                store.put("keyed.servers", id, null);
                new Engine(store, socket.getInetAddress().getHostAddress(), socket.getLocalPort(), zone).start();
            });
        }
    }
}
