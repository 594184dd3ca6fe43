package org.verbenatray.relay;

import java.util.HashMap;
import java.util.Map;
import org.verbenatray.backends.Backend;
import org.verbenatray.resilience.CrashLedger;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;
import org.xnio.XnioIoThread;

/** Finds out whether a server whose connection broke still takes connections: one that refuses them has ended. */
public final class CrashProbe {
    /** The time that an answer may take in milliseconds. */
    private static final long ANSWER_MILLIS = 400;

    /** The time between two probes of one start of a server in milliseconds. */
    private static final long BETWEEN_MILLIS = 500;

    /** The largest answer in bytes. */
    private static final int MAX_ANSWER_BYTES = 64 * 1024;

    /** The connections. */
    private final HttpTransport transport;

    /** The thread. */
    private final XnioIoThread thread;

    /** The clock. */
    private final Ticker ticker;

    /** The translation of calls. */
    private final RelayDialect dialect;

    /** The ledger that hears of ended servers. */
    private final CrashLedger crashes;

    /** Until when each start of a server is not probed again. */
    private final Map<String, Deadline> resting = new HashMap<>();

    /** Creates a probe. */
    private CrashProbe(
            HttpTransport transport, XnioIoThread thread, Ticker ticker, RelayDialect dialect, CrashLedger crashes) {
        this.transport = transport;
        this.thread = thread;
        this.ticker = ticker;
        this.dialect = dialect;
        this.crashes = crashes;
    }

    /** Returns a probe. */
    public static CrashProbe create(
            HttpTransport transport, XnioIoThread thread, Ticker ticker, RelayDialect dialect, CrashLedger crashes) {
        return new CrashProbe(transport, thread, ticker, dialect, crashes);
    }

    /** Looks at a server whose connection has just broken. */
    void look(Backend backend) {
        long now = ticker.nanos();
        String boot = backend.entry().boot();
        resting.values().removeIf(until -> until.passed(now));
        if (resting.containsKey(boot)) {
            return;
        }
        resting.put(boot, Deadline.afterMillis(now, BETWEEN_MILLIS));
        transport
                .call(
                        dialect.load(backend).onFreshConnection(),
                        thread,
                        Deadline.afterMillis(now, ANSWER_MILLIS),
                        MAX_ANSWER_BYTES)
                .whenComplete((reply, failure) -> {
                    boolean refused =
                            failure instanceof ServerFailure known && known.kind() == ServerFailure.Kind.NOT_CONNECTED;
                    if (refused) {
                        crashes.ended(boot);
                    }
                });
    }
}
