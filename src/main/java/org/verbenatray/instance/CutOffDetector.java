package org.verbenatray.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.relay.ReachListener;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Detects that this instance is cut off: the list of servers and at least half of the engines are unreachable, or no
 * server can be reached, or only over kept connections, while engines answer other instances. It is then not ready,
 * since another instance serves callers better. An unreachable list alone or servers that nobody reaches don't count.
 */
final class CutOffDetector implements ReachListener {
    /** The time in milliseconds for which the list must have been unreachable. */
    private static final long LIST_OUTAGE_MILLIS = 1_000;

    /** The share of unreachable engines from which an instance counts as cut off. */
    private static final double MIN_UNREACHABLE_SHARE = 0.5;

    private static final Logger log = System.getLogger(CutOffDetector.class.getName());

    private final Ticker ticker;

    private final BackendDirectory directory;

    private final ServerReach serverReach;

    /** The time from which the list counts as lost, null while it can be read. */
    private volatile Deadline listLostFrom;

    /** Whether this instance was partitioned from the servers at the last update. */
    private boolean partitioned;

    /** The result of the last update; written on the thread of the directory. */
    private volatile boolean cutOff;

    private CutOffDetector(Ticker ticker, BackendDirectory directory) {
        this.ticker = ticker;
        this.directory = directory;
        this.serverReach = ServerReach.create(ticker);
    }

    /** Creates a detector that counts everything as reachable. */
    static CutOffDetector of(Ticker ticker, BackendDirectory directory) {
        return new CutOffDetector(ticker, directory);
    }

    @Override
    public void onPoll(Backend engine, boolean answered) {
        serverReach.onPoll(engine.entry().bootId(), answered);
    }

    @Override
    public void onConnected() {
        serverReach.onConnected();
    }

    @Override
    public void onNotConnected(Backend server) {
        serverReach.onNotConnected(server.entry().bootId());
    }

    @Override
    public boolean suspectsNewConnections() {
        return serverReach.isSuspicious();
    }

    /** Records that an engine answered another instance the given number of milliseconds ago. */
    void onAnsweredOther(String boot, long agoMillis) {
        serverReach.onAnsweredOther(boot, agoMillis);
    }

    /** Records that the list of servers was read. */
    void onListRead() {
        listLostFrom = null;
    }

    /** Records that the list of servers could not be read. */
    void onListUnreachable() {
        if (listLostFrom == null) {
            listLostFrom = Deadline.afterMillis(ticker.nanos(), LIST_OUTAGE_MILLIS);
        }
    }

    /**
     * Updates the state and logs a change; call on the thread of the directory. Marks all engines as unreachable if
     * this instance is partitioned and none answers, so that requests are rejected at once instead of waiting for an
     * engine whose next poll is still due.
     */
    void update() {
        List<Backend> engines = engines();
        serverReach.removeExpired();
        partitioned = serverReach.isPartitioned(engines.size());
        if (serverReach.enginesSilent(engines.size())) {
            engines.forEach(Backend::markUnreachable);
        }
        boolean listLost = listLostFrom != null && listLostFrom.hasPassed(ticker.nanos());
        boolean now = partitioned || listLost && unreachableShare() >= MIN_UNREACHABLE_SHARE;
        if (now != cutOff) {
            Event.named(now ? "cut_off" : "in_reach")
                    .with("engines_out_of_reach", unreachableShare())
                    .with("list_lost", listLost)
                    .with("others_reach_servers", partitioned)
                    .log(log, Level.WARNING);
        }
        cutOff = now;
    }

    /** Returns whether this instance was cut off at the last update. Callable from any thread. */
    boolean isCutOff() {
        return cutOff;
    }

    /** Returns whether others reached the servers at the last update, and this instance did not. */
    boolean isPartitioned() {
        return partitioned;
    }

    /** Returns the share of unreachable engines, zero when there are no engines. */
    private double unreachableShare() {
        List<Backend> engines = engines();
        long unreachable = engines.stream().filter(Backend::unreachable).count();
        return engines.isEmpty() ? 0 : (double) unreachable / engines.size();
    }

    private List<Backend> engines() {
        return directory.all().stream()
                .filter(backend -> backend.entry().stage() != BackendStage.PLAIN)
                .toList();
    }
}
