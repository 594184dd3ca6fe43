package org.verbenatray.instance;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.verbenatray.authority.LeaseOptions;
import org.verbenatray.authority.LeaseTerms;
import org.verbenatray.authority.LogLease;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.openwork.ReadExchange.Pace;
import org.verbenatray.resilience.CrashExchange;
import org.verbenatray.resilience.CrashLedger;
import org.verbenatray.state.KeyedFollower;
import org.verbenatray.state.RetryPacer;

/** Starts what follows the platform's logs; the reads are shared with the other instances. Used on one thread. */
final class FollowedLogs {
    /** The names of the logs whose reads instances share. */
    private static final String ROUTES = "routes";

    private static final String SERVERS = "servers";

    private static final String CRASHES = "crashes";

    /** The key from which all instances derive the candidates for the lease of orders. */
    private static final String ORDERS = "orders";

    /** The time between two reads of the routes that find changes, in milliseconds. */
    private static final long MIN_ROUTES_INTERVAL_MILLIS = 50;

    private final Supplier<RelayInstanceSettings> settings;

    private final PlatformAdapter platform;

    private final WorkSharing sharing;

    private final EventLoop loop;

    private final DoubleSupplier random = () -> ThreadLocalRandom.current().nextDouble();

    private final RetryPacer pacer;

    private FollowedLogs(
            Supplier<RelayInstanceSettings> settings, PlatformAdapter platform, WorkSharing sharing, EventLoop loop) {
        this.settings = settings;
        this.platform = platform;
        this.sharing = sharing;
        this.loop = loop;
        this.pacer = RetryPacer.create(random, loop.ticker(), loop.scheduler());
    }

    /** Creates an object that follows no log yet; the settings may change. */
    static FollowedLogs create(
            Supplier<RelayInstanceSettings> settings, PlatformAdapter platform, WorkSharing sharing, EventLoop loop) {
        return new FollowedLogs(settings, platform, sharing, loop);
    }

    /** Returns what paces the reads while the store does not answer. */
    RetryPacer pacer() {
        return pacer;
    }

    /** Starts to follow the routes. */
    void followRoutes(KeyedFollower.Listener listener) {
        Pace pace = Pace.waiting(() -> settings.get().routesWaitMillis(), MIN_ROUTES_INTERVAL_MILLIS);
        follow(ROUTES, platform.routes(), listener, pace);
    }

    /** Starts to follow the list of backend servers. */
    void followServers(KeyedFollower.Listener listener) {
        Pace pace = Pace.regular(() -> settings.get().serversPollMillis());
        follow(SERVERS, platform.servers(), listener, pace);
    }

    private void follow(String name, KeyedLog log, KeyedFollower.Listener listener, Pace pace) {
        KeyedFollower follower = KeyedFollower.startShared(
                name, log, listener, pacer, sharing.readSharing(name, pace), loop.ticker(), loop.scheduler());
        sharing.shareReads(name, follower);
    }

    /** Starts to share the crashes that the ledger holds. */
    CrashExchange followCrashes(CrashLedger crashes) {
        Pace pace = Pace.waiting(() -> CrashExchange.READ_MILLIS, CrashExchange.MIN_READ_INTERVAL_MILLIS);
        CrashExchange exchange = CrashExchange.start(
                platform.crashReports(),
                crashes,
                random,
                pacer,
                sharing.readSharing(CRASHES, pace),
                loop.ticker(),
                loop.scheduler());
        sharing.shareReads(CRASHES, exchange.follower());
        return exchange;
    }

    /** Starts to watch the lease whose holder gives orders to engines. */
    LogLease watchOrdersLease() {
        LeaseTerms terms = LeaseTerms.ORDERS;
        return LogLease.start(
                platform.lease(),
                settings.get().name(),
                LeaseOptions.of(terms, settings.get().firstStart())
                        .withPlace(() -> sharing.placeAmongCandidates(ORDERS, terms.candidates())),
                loop.ticker(),
                System::currentTimeMillis,
                loop.scheduler());
    }
}
