import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * While the store is silent, engines crash one after the other and start again under their ids, with another version of
 * their software.
 */
final class Case7 {
    private static final int ENGINES = 8;

    private static final int CALLERS_PER_RELAY = 40;

    private static final int EVENTS = 12;

    private static final int EVENT_GAP_MILLIS = 80;

    private static final long DOWN_MILLIS = 2_000;

    private static final long BETWEEN_MILLIS = 1_300;

    private static final long STORE_DOWN_MILLIS = 8_000;

    private static final int RESTARTED = 6;

    private static final Pattern SOURCE = Pattern.compile("data: (\\S+) of (\\S+) started (\\d+)");

    private static volatile boolean stopped;

    private Case7() {}

    public static void main(String[] args) throws Exception {
        Lab.openRecord();
        Lab.Store store = new Lab.Store();
        store.put("keyed.op", "config", Lab.configuration(1));
        List<Lab.Server> engines = new ArrayList<>();
        for (int index = 0; index < ENGINES; index++) {
            engines.add(new Engine(store, Lab.ip(index + 11), 0, "e" + index, "z" + (index % 3 + 1),
                    "v1").start());
        }
        for (int index = 0; index < 3; index++) {
            new Lab.Server(store, Lab.ip(index + 41), "p" + index, "app", "z" + (index + 1), "", "v1", 6).start();
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
        Map<String, Integer> outcomes = new ConcurrentHashMap<>();
        Set<String> mixed = ConcurrentHashMap.newKeySet();
        for (Lab.Relay relay : relays) {
            for (int index = 0; index < CALLERS_PER_RELAY; index++) {
                int caller = index;
                Lab.daemon(() -> call(relay, caller, outcomes, mixed));
            }
        }
        Lab.sleep(8_000);
        Lab.note("before the disruption: " + outcomes + ", mixed " + mixed.size());
        if (Lab.TROUBLE) {
            Lab.note("the store falls silent");
            store.down = true;
            Lab.daemon(() -> {
                Lab.sleep(STORE_DOWN_MILLIS);
                store.down = false;
                Lab.note("the store answers again");
            });
        }
        for (int index = 0; Lab.TROUBLE && index < RESTARTED; index++) {
            int number = index;
            Lab.daemon(() -> restart(store, engines.get(number)));
            Lab.sleep(BETWEEN_MILLIS);
        }
        Lab.sleep(8_000);
        stopped = true;
        Lab.sleep(4_500);
        Lab.note("outcomes: " + outcomes);
        mixed.forEach(Lab::note);
        Lab.verdict(mixed.size() > 2, mixed.size() + " streams hold events of two software versions");
    }

    /** Ends an engine as in a crash and starts it again: at its address, under its id. */
    private static void restart(Lab.Store store, Lab.Server engine) {
        Lab.note(engine.id + " crashes");
        engine.end();
        Lab.sleep(DOWN_MILLIS);
        new Engine(store, engine.socket.getInetAddress().getHostAddress(), engine.socket.getLocalPort(), engine.id,
                engine.zone, "v2").start();
        Lab.note(engine.id + " is back, software version v2");
    }

    private static void call(Lab.Relay relay, int caller, Map<String, Integer> outcomes, Set<String> mixed) {
        Lab.sleep(caller * 2_000L / CALLERS_PER_RELAY);
        while (!stopped) {
            byte[] body = new byte[380];
            ThreadLocalRandom.current().nextBytes(body);
            Lab.Attempt attempt = Lab.send(relay.ip, relay.front, "POST", "/check/" + caller, 4000,
                    Lab.prompt(291, EVENTS, Integer.toHexString(0xa000 + caller)), body);
            outcomes.merge(attempt.outcome(), 1, Integer::sum);
            if (!attempt.complete() || attempt.head.status() != 200) {
                Lab.sleep(300);
            }
            if (attempt.complete()) {
                Set<String> versions = new TreeSet<>();
                Set<String> sources = new TreeSet<>();
                Matcher matcher = SOURCE.matcher(new String(attempt.body, StandardCharsets.UTF_8));
                while (matcher.find()) {
                    versions.add(matcher.group(1));
                    sources.add(matcher.group(2) + "/" + matcher.group(1));
                }
                if (versions.size() > 1) {
                    mixed.add(attempt.id + " at " + relay.name + ": status " + attempt.head.status()
                            + ", complete, events of " + sources);
                }
            }
        }
    }

    private static final class Engine extends Lab.Server {
        Engine(Lab.Store store, String address, int port, String id, String zone, String version) {
            super(store, address, port, id, "llm", zone, "decode", version, 64);
        }

        @Override
        boolean run(Lab.Head head, byte[] body, Socket channel, OutputStream out) throws IOException {
            String last = head.get("Last-Event-Id");
            startStream(head, out);
            for (long number = last == null ? 1 : Long.parseLong(last) + 1; number <= EVENTS; number++) {
                Lab.sleep(EVENT_GAP_MILLIS);
                chunk(out, event(number, version + " of " + id + " started " + born));
            }
            out.write(Lab.ascii("0\r\n\r\n"));
            out.flush();
            return true;
        }
    }
}
