import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Rule CONFIG: the store comes back from a copy some seconds old; the operator writes its newest configuration again,
 * then the next one, at offsets that were given out before.
 */
final class LostConfiguration {
    private static final int RELAYS = 3;

    /** The time between two changes of the configuration before the store goes away. */
    private static final long CHANGE_INTERVAL_MILLIS = 1_500;

    /** How long the store is away. */
    private static final long AWAY_MILLIS = 1_000;

    /** The time from the operator's repeated write to its next change. */
    private static final long NEXT_CHANGE_MILLIS = 100;

    private static final long CONTACT_MILLIS = 3_000;
    private static final long CONFIG_APPLY_MILLIS = 2_000;

    /** How long requests are sent after the last change is due everywhere. */
    private static final long WATCH_MILLIS = 40_000;

    public static void main(String[] args) {
        Fleet.exit(() -> run(args));
    }

    /** Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    private static int run(String[] args) throws Exception {
        Record record = new Record(Fleet.folder(args).resolve("record.txt"));
        Store store = new Store("127.0.0.1", record);
        write(store, record, 1, 1_000, "app-a");
        List<Backend> servers = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            servers.add(new Backend("i-a" + number, "app-a", Relays.zone(number), null, "127.0.2." + number, store, record));
            servers.add(new Backend("i-b" + number, "app-b", Relays.zone(number), null, "127.0.3." + number, store, record));
        }
        Relays relays = new Relays(Fleet.root(args), store.address(), record);
        int status;
        try {
            for (int number = 1; number <= RELAYS; number++) {
                relays.start(number);
            }
            relays.awaitReady(20_000);
            Thread.sleep(4_000);
            Map<String, List<byte[]>> copy = store.copy();
            record.write("copy of the store taken");
            Thread.sleep(CHANGE_INTERVAL_MILLIS);
            write(store, record, 2, 1_100, "app-a");
            Thread.sleep(CHANGE_INTERVAL_MILLIS);
            write(store, record, 3, 1_200, "app-a");
            Thread.sleep(CHANGE_INTERVAL_MILLIS);
            if (Fleet.trouble()) {
                store.leave();
                record.write("store away");
                Thread.sleep(AWAY_MILLIS);
                store.restore(copy);
                write(store, record, 3, 1_200, "app-a");
                store.comeBack();
                servers.forEach(Backend::beat);
                record.write("store back from the copy; the operator and the servers have written again");
            } else {
                Thread.sleep(AWAY_MILLIS);
                write(store, record, 3, 1_200, "app-a");
            }
            Thread.sleep(NEXT_CHANGE_MILLIS);
            write(store, record, 4, 1_200, "app-b");
            Thread.sleep(Math.max(CONTACT_MILLIS, CONFIG_APPLY_MILLIS) + 1_000);
            status = watch(relays, record);
        } finally {
            relays.stop();
        }
        return status;
    }

    /** Writes a version of the configuration; the store's answer is its ack. */
    private static void write(Store store, Record record, int version, long timeoutMillis, String service) {
        String routes = Fleet.route("r-read", "/read/", "safe", service, 2, timeoutMillis)
                + (version >= 3 ? "," + Fleet.route("r-new" + version, "/new" + version + "/", "safe", "app-a", 2, 1_500) : "");
        long offset = store.put(
                "keyed.op",
                "config",
                Fleet.config(version, routes, Fleet.service("app-a") + "," + Fleet.service("app-b")));
        record.write("config version=" + version + " /read/ goes to " + service + " offset=" + offset);
    }

    /** Sends requests on the route that version 4 has moved, and on the one that it has added; returns the status. */
    private static int watch(Relays relays, Record record) throws Exception {
        int all = 0;
        int old = 0;
        long end = record.millis() + WATCH_MILLIS;
        for (int number = 0; record.millis() < end; number++) {
            for (int relay = 1; relay <= RELAYS; relay++) {
                String path = number % 2 == 0 ? "/read/1" : "/new4/1";
                String id = "q" + number + "-" + relay;
                Http.Message answer = Http.call(
                        relays.front(relay), "GET", path, Fleet.headers(id, 3_000), new byte[0], 4_000);
                String text = new String(answer.body(), StandardCharsets.UTF_8).strip();
                boolean byOldVersion = path.startsWith("/read/") ? text.contains("by i-a") : answer.status() == 404;
                record.write("answer request=" + id + " relay=" + relay + " path=" + path + " status=" + answer.status()
                        + " " + text + (byOldVersion ? " BROKEN CONFIG: as an older version allows" : ""));
                all++;
                old += byOldVersion ? 1 : 0;
            }
            Thread.sleep(500);
        }
        record.write("requests=" + all + " handled as an older version allows=" + old);
        return all == 0 ? 2 : old > 0 ? 1 : 0;
    }
}
