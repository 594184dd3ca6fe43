import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Four engines of eight truncate a few of their streams behind the last event: the end is missing. */
final class Case10 {
    private static final int ENGINES = 8;

    private static final int CALLERS_PER_RELAY = 40;

    private static final int EVENTS = 9;

    private static final int EVENT_GAP_MILLIS = 40;

    /** One in so many streams of a faulty engine is truncated: 5 in 100. */
    private static final int TRUNCATED_ONE_IN = 20;

    private static final int PERIODS = 3;

    private static final long FAULTY_MILLIS = 5_000;

    /** What the engines that ran a request did, by request id. */
    private static final Map<String, String> RUNS = new ConcurrentHashMap<>();

    private static final AtomicInteger TRUNCATED = new AtomicInteger();

    private static volatile boolean faulty;

    private static volatile boolean stopped;

    private Case10() {}

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
        Map<String, Integer> lost = new ConcurrentHashMap<>();
        for (Lab.Relay relay : relays) {
            for (int index = 0; index < CALLERS_PER_RELAY; index++) {
                int caller = index;
                Lab.daemon(() -> call(relay, caller, outcomes, lost));
            }
        }
        Lab.sleep(5_000);
        Lab.note("before the disruption: " + outcomes + ", lost " + lost);
        for (int period = 0; period < PERIODS; period++) {
            faulty = Lab.TROUBLE;
            Lab.note(faulty ? "e0 to e3 truncate one in " + TRUNCATED_ONE_IN + " of their streams" : "no disruption");
            Lab.sleep(FAULTY_MILLIS);
            faulty = false;
            Lab.note("no engine is faulty");
            Lab.sleep(5_000);
        }
        stopped = true;
        Lab.sleep(4_500);
        Lab.note("streams truncated by e0 to e3: " + TRUNCATED);
        Lab.note("outcomes: " + outcomes);
        boolean broken = lost.values().stream().anyMatch(count -> count > 3);
        Lab.verdict(broken, "requests that were passed on to a sound engine, which answered them whole, and whose kept"
                + " channel was closed without a complete answer: " + lost + "; " + TRUNCATED
                + " streams were truncated");
    }

    /** Sends one request after the other on a kept channel. */
    private static void call(Lab.Relay relay, int caller, Map<String, Integer> outcomes, Map<String, Integer> lost) {
        Lab.sleep(caller * 400L / CALLERS_PER_RELAY);
        while (!stopped) {
            try (Socket channel = new Socket()) {
                channel.connect(new InetSocketAddress(Lab.loopback(relay.ip), relay.front), 1000);
                channel.setTcpNoDelay(true);
                channel.setSoTimeout(6_000);
                InputStream in = new BufferedInputStream(channel.getInputStream());
                boolean open = true;
                for (int sent = 0; open && !stopped; sent++) {
                    String id = Lab.newId();
                    long begin = Lab.millis();
                    byte[] body = new byte[380];
                    ThreadLocalRandom.current().nextBytes(body);
                    try {
                        OutputStream out = channel.getOutputStream();
                        out.write(Lab.ascii(Lab.request("POST", "/check/" + caller, id, 4000,
                                Lab.prompt(291, EVENTS, Integer.toHexString(0xa000 + caller)), body.length)));
                        out.write(body);
                        out.flush();
                        Lab.Head head = Lab.readHead(in);
                        if (head == null) {
                            throw new IOException("closed without an answer");
                        }
                        Lab.readBody(in, head);
                        outcomes.merge(Integer.toString(head.status()), 1, Integer::sum);
                        open = !"close".equalsIgnoreCase(head.get("Connection"));
                    } catch (IOException e) {
                        outcomes.merge("channel ended", 1, Integer::sum);
                        open = false;
                        String runs = RUNS.getOrDefault(id, "");
                        Lab.note(id + " at " + relay.name + ", request " + sent + " of its channel: " + e.getMessage()
                                + " after " + (Lab.millis() - begin) + " ms; runs:" + runs);
                        if (sent > 0 && runs.contains("whole")) {
                            lost.merge(relay.name, 1, Integer::sum);
                        }
                    }
                }
            } catch (IOException e) {
                outcomes.merge("not connected", 1, Integer::sum);
                Lab.sleep(300);
            }
        }
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
            for (long number = last == null ? 1 : Long.parseLong(last) + 1; number <= EVENTS; number++) {
                Lab.sleep(EVENT_GAP_MILLIS);
                chunk(out, event(number, request + " token " + number));
            }
            boolean mayFail = faulty && id.compareTo("e3") <= 0;
            if (mayFail && last == null && ThreadLocalRandom.current().nextInt(TRUNCATED_ONE_IN) == 0) {
                TRUNCATED.incrementAndGet();
                RUNS.merge(request, " " + id + " truncated behind event " + EVENTS, String::concat);
                Lab.sleep(5);
                return false;
            }
            out.write(Lab.ascii("0\r\n\r\n"));
            out.flush();
            RUNS.merge(request, " " + id + " whole" + (last == null ? "" : " from Last-Event-Id " + last),
                    String::concat);
            return true;
        }
    }
}
