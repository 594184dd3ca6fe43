import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Three engines of twelve break: each stream that they run goes on as bytes without end. */
final class Case6 {
    private static final int ENGINES = 12;

    private static final String BROKEN = " e0 e1 e2 ";

    private static final int CALLERS_PER_RELAY = 150;

    private static final int EVENTS = 20;

    private static final int EVENT_GAP_MILLIS = 100;

    /** The bytes a second of each answer without end; those of one machine take less than its link. */
    private static final long ENDLESS_BYTES_PER_SECOND = 2_000_000;

    /** The time from sending after which the end of a channel is put down to the caller's time budget. */
    private static final long BUDGET_MILLIS = 3_500;

    private static final long BREAK_MILLIS = 10_000;

    private static final long END_MILLIS = 20_000;

    /** The engines that ran each request, by request id. */
    private static final Map<String, String> RAN_AT = new ConcurrentHashMap<>();

    private static final AtomicInteger ENDLESS = new AtomicInteger();

    private static final AtomicLong ENDLESS_BYTES = new AtomicLong();

    private static volatile boolean broken;

    private static volatile boolean stopped;

    private Case6() {}

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
        long begin = Lab.millis();
        Map<String, Integer> outcomes = new ConcurrentHashMap<>();
        Map<String, Integer> lost = new ConcurrentHashMap<>();
        for (Lab.Relay relay : relays) {
            for (int index = 0; index < CALLERS_PER_RELAY; index++) {
                int caller = index;
                Lab.daemon(() -> call(relay, caller, outcomes, lost));
            }
        }
        Lab.sleep(BREAK_MILLIS);
        Lab.note("before the disruption: " + outcomes + ", lost " + lost);
        broken = Lab.TROUBLE;
        Lab.note(broken ? "e0, e1 and e2 break: their streams go on as bytes without end" : "no disruption");
        Lab.sleep(END_MILLIS - BREAK_MILLIS);
        stopped = true;
        Lab.sleep(4_500);
        int ended = 0;
        for (Lab.Relay relay : relays) {
            if (relay.alive()) {
                Lab.note(relay.name + " runs");
            } else {
                ended++;
                Lab.note(relay.name + " ended by itself, exit code " + relay.exitCode() + ", last line of its log: "
                        + relay.logTail(1));
            }
        }
        Lab.note("answers without end: " + ENDLESS + ", " + ENDLESS_BYTES + " bytes written in all");
        Lab.note("outcomes: " + outcomes);
        Lab.note("requests that a sound engine ran, whose kept channel ended without a complete answer: " + lost);
        boolean lostTooMany = lost.values().stream().anyMatch(count -> count > 3);
        Lab.verdict(lostTooMany, ended + " of 3 processes ended by themselves; lost by machine " + lost);
    }

    /** Sends one request after the other on a kept channel. */
    private static void call(Lab.Relay relay, int caller, Map<String, Integer> outcomes, Map<String, Integer> lost) {
        Lab.sleep(caller * 2_200L / CALLERS_PER_RELAY);
        while (!stopped) {
            try (Socket channel = new Socket()) {
                channel.connect(new InetSocketAddress(Lab.loopback(relay.ip), relay.front), 1000);
                channel.setTcpNoDelay(true);
                channel.setSoTimeout(6_000);
                InputStream in = new BufferedInputStream(channel.getInputStream());
                for (int sent = 0; !stopped; sent++) {
                    String id = Lab.newId();
                    long begin = Lab.millis();
                    String outcome;
                    boolean closed = false;
                    try {
                        OutputStream out = channel.getOutputStream();
                        out.write(Lab.ascii(Lab.request("POST", "/check/" + caller, id, 4000,
                                Lab.prompt(291, EVENTS, Integer.toHexString(0xa000 + caller)), 380)));
                        out.write(new byte[380]);
                        out.flush();
                        Lab.Head head = Lab.readHead(in);
                        if (head == null) {
                            throw new IOException("closed without an answer");
                        }
                        Lab.readBody(in, head);
                        outcome = Integer.toString(head.status());
                        closed = "close".equalsIgnoreCase(head.get("Connection"));
                    } catch (IOException e) {
                        outcome = "channel ended";
                        String engines = RAN_AT.getOrDefault(id, "");
                        if (sent > 0 && isSound(engines) && Lab.millis() - begin < BUDGET_MILLIS) {
                            lost.merge(relay.name, 1, Integer::sum);
                            Lab.note(id + " at " + relay.name + ": run by" + engines + ", " + (Lab.millis() - begin) + " ms, request " + sent
                                    + " of its channel, " + e.getMessage());
                        }
                        outcomes.merge(outcome, 1, Integer::sum);
                        break;
                    }
                    outcomes.merge(outcome, 1, Integer::sum);
                    if (closed) {
                        break;
                    }
                }
            } catch (IOException e) {
                outcomes.merge("not connected", 1, Integer::sum);
            }
            Lab.sleep(500);
        }
    }

    /** Returns whether engines have run a request, and none of them has broken. */
    private static boolean isSound(String engines) {
        return !engines.isEmpty() && Arrays.stream(engines.trim().split(" ")).noneMatch(id -> BROKEN.contains(" " + id + " "));
    }

    private static final class Engine extends Lab.Server {
        Engine(Lab.Store store, String address, String id, String zone) {
            super(store, address, id, "llm", zone, "decode", "v1", 64);
        }

        @Override
        boolean run(Lab.Head head, byte[] body, Socket channel, OutputStream out) throws IOException {
            RAN_AT.merge(head.get("Request-Id"), " " + id, String::concat);
            String last = head.get("Last-Event-Id");
            startStream(head, out);
            for (long number = last == null ? 1 : Long.parseLong(last) + 1; number <= EVENTS; number++) {
                Lab.sleep(EVENT_GAP_MILLIS);
                if (broken && BROKEN.contains(" " + id + " ")) {
                    sendWithoutEnd(out);
                }
                chunk(out, event(number, "token " + number));
            }
            out.write(Lab.ascii("0\r\n\r\n"));
            out.flush();
            return true;
        }

        /** Writes bytes that are no event until the caller closes the channel. */
        private static void sendWithoutEnd(OutputStream out) throws IOException {
            ENDLESS.incrementAndGet();
            byte[] bytes = new byte[8192];
            Arrays.fill(bytes, (byte) 'x');
            long begin = System.nanoTime();
            for (long sent = bytes.length;; sent += bytes.length) {
                chunk(out, bytes);
                ENDLESS_BYTES.addAndGet(bytes.length);
                Lab.sleep(sent * 1000 / ENDLESS_BYTES_PER_SECOND - (System.nanoTime() - begin) / 1_000_000);
            }
        }
    }
}
