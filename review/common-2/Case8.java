import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Four engines of eight send, in a few of their streams, an error text in place of the first event and break off. */
final class Case8 {
    private static final int ENGINES = 8;

    private static final int CALLERS_PER_RELAY = 20;

    private static final int EVENTS = 9;

    private static final int EVENT_GAP_MILLIS = 40;

    /** One in so many streams of a faulty engine is spoilt: 5 in 100. */
    private static final int SPOILT_ONE_IN = 20;

    private static final long FAULTY_MILLIS = 5_000;

    private static final byte[] ERROR_TEXT = Lab.ascii("internal error: the batch could not be scheduled\n\n");


    private static final AtomicInteger SPOILT = new AtomicInteger();

    private static volatile boolean faulty;

    private static volatile boolean stopped;

    private Case8() {}

    public static void main(String[] args) throws Exception {
        Lab.openRecord();
        Lab.Store store = new Lab.Store();
        store.put("keyed.op", "config", Lab.configuration(1));
        for (int index = 0; index < ENGINES; index++) {
            new Engine(store, Lab.ip(index + 11), "e" + index, "z" + (index % 3 + 1)).start();
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
        Set<String> foreign = ConcurrentHashMap.newKeySet();
        for (Lab.Relay relay : relays) {
            for (int index = 0; index < CALLERS_PER_RELAY; index++) {
                int caller = index;
                Lab.daemon(() -> call(relay, caller, outcomes, foreign));
            }
        }
        Lab.sleep(5_000);
        Lab.note("before the disruption: " + outcomes + ", wrong " + foreign.size());
        faulty = Lab.TROUBLE;
        Lab.note(faulty ? "e0 to e3 spoil one in " + SPOILT_ONE_IN + " of their streams" : "no disruption");
        Lab.sleep(FAULTY_MILLIS);
        faulty = false;
        Lab.sleep(5_000);
        stopped = true;
        Lab.sleep(4_500);
        Lab.note("streams spoilt by e0 to e3: " + SPOILT);
        Lab.note("outcomes: " + outcomes);
        Lab.verdict(!foreign.isEmpty(), foreign.size() + " complete answers with status 200 hold a body that no server sent,"
                + " of " + outcomes.getOrDefault("200", 0) + "; " + SPOILT + " streams were spoilt");
    }

    private static void call(Lab.Relay relay, int caller, Map<String, Integer> outcomes, Set<String> foreign) {
        Lab.sleep(caller * 400L / CALLERS_PER_RELAY);
        while (!stopped) {
            byte[] body = new byte[380];
            ThreadLocalRandom.current().nextBytes(body);
            Lab.Attempt attempt = Lab.send(relay.ip, relay.front, "POST", "/check/" + caller, 4000,
                    Lab.prompt(291, EVENTS, Integer.toHexString(0xa000 + caller)), body);
            outcomes.merge(attempt.outcome(), 1, Integer::sum);
            if (!attempt.complete() || attempt.head.status() != 200) {
                Lab.sleep(300);
                continue;
            }
            String got = new String(attempt.body, StandardCharsets.ISO_8859_1);
            if (!got.equals(events(attempt.id))) {
                foreign.add(attempt.id);
                Lab.note(attempt.id + " at " + relay.name + ": 200, Server-Stamp " + attempt.head.get("Server-Stamp")
                        + ", complete, body: " + got.replace("\n", "\\n"));
            }
        }
    }

    /** The whole stream of a request, which is the same at each engine. */
    private static String events(String request) {
        StringBuilder all = new StringBuilder();
        for (int number = 1; number <= EVENTS; number++) {
            all.append(new String(Lab.Server.event(number, request + " token " + number), StandardCharsets.ISO_8859_1));
        }
        return all.toString();
    }

    private static final class Engine extends Lab.Server {
        Engine(Lab.Store store, String address, String id, String zone) {
            super(store, address, id, "llm", zone, "decode", "v1", 64);
        }

        @Override
        boolean run(Lab.Head head, byte[] body, Socket channel, OutputStream out) throws IOException {
            String request = head.get("Request-Id");
            String last = head.get("Last-Event-Id");
            startStream(head, out);
            boolean mayFail = faulty && id.compareTo("e3") <= 0;
            if (mayFail && last == null && ThreadLocalRandom.current().nextInt(SPOILT_ONE_IN) == 0) {
                SPOILT.incrementAndGet();
                Lab.note(request + ": " + id + " sends an error text in place of the first event and breaks off");
                Lab.sleep(EVENT_GAP_MILLIS);
                chunk(out, ERROR_TEXT);
                Lab.sleep(20);
                return false;
            }
            for (long number = last == null ? 1 : Long.parseLong(last) + 1; number <= EVENTS; number++) {
                Lab.sleep(EVENT_GAP_MILLIS);
                chunk(out, event(number, request + " token " + number));
            }
            out.write(Lab.ascii("0\r\n\r\n"));
            out.flush();
            return true;
        }
    }
}
