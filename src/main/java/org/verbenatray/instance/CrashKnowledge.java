package org.verbenatray.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import org.verbenatray.resilience.Crash;
import org.verbenatray.resilience.CrashEvents;
import org.verbenatray.resilience.CrashExchange;
import org.verbenatray.resilience.CrashLedger;
import org.verbenatray.resilience.EvidenceExchange;
import org.verbenatray.resilience.ServerRuns;

/** What an instance knows of requests that crash servers, and shares with the others. Used on one thread. */
final class CrashKnowledge {
    private static final Logger log = System.getLogger(CrashKnowledge.class.getName());

    private final CrashLedger ledger;

    private final ServerRuns runs;

    private final EvidenceExchange evidence;

    /** Shares crashes through the log, null before the start. */
    private volatile CrashExchange exchange;

    private CrashKnowledge(RelayInstanceSettings settings, WorkSharing sharing, EventLoop loop) {
        this.ledger = CrashLedger.create(loop.ticker(), this::onCleared);
        this.runs = ServerRuns.create(loop.ticker(), this::onFound);
        this.evidence = EvidenceExchange.create(settings.name(), ledger, sharing::peers, sharing::send, loop.ticker());
        sharing.register(EvidenceExchange::recognizes, evidence::receive);
    }

    /** Returns what an instance without any crash knows, which it shares once it is started. */
    static CrashKnowledge create(RelayInstanceSettings settings, WorkSharing sharing, EventLoop loop) {
        return new CrashKnowledge(settings, sharing, loop);
    }

    /** Starts to follow the log of crashes. */
    void start(FollowedLogs logs) {
        exchange = logs.followCrashes(ledger);
    }

    /** Returns whether the crashes that the log holds are known. Callable from any thread. */
    boolean loaded() {
        return exchange != null && exchange.loaded();
    }

    /** Returns the crashes that are known. */
    CrashLedger ledger() {
        return ledger;
    }

    /** Returns the runs that the end of a server is attributed to. */
    ServerRuns runs() {
        return runs;
    }

    /** Returns how crashes are shared; only after the start. */
    CrashExchange exchange() {
        return exchange;
    }

    /** Removes what has expired and tells the other instances what is new; called regularly. */
    void maintain() {
        exchange.onExpired(ledger.removeExpired());
        runs.removeExpired();
        evidence.tell();
    }

    private void onCleared(List<Crash> cleared) {
        exchange.onCleared(cleared);
        evidence.onCleared(cleared);
    }

    /** Records, logs and publishes the end of a server under a request. */
    private void onFound(Crash crash) {
        if (!ledger.recordCrash(crash)) {
            return;
        }
        CrashEvents.describe("crash_found", crash, ledger).log(log, Level.WARNING);
        exchange.publish(crash);
    }
}
