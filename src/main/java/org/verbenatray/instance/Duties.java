package org.verbenatray.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.verbenatray.authority.LeaseOptions;
import org.verbenatray.authority.LeaseTerms;
import org.verbenatray.authority.LogLease;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.capacity.CapacityController;
import org.verbenatray.catalog.CurrentCatalog;
import org.verbenatray.continuation.StreamHomes;
import org.verbenatray.duties.DutySettings;
import org.verbenatray.duties.PlatformApi;
import org.verbenatray.openwork.ListedInstance;
import org.verbenatray.telemetry.Event;
import org.verbenatray.usage.SharedClock;
import org.verbenatray.usage.UsageExchange;
import org.verbenatray.usage.UsageReporter;
import org.verbenatray.usage.UsageTotals;
import org.verbenatray.usage.UsageWindows;

/**
 * The part of this instance in the duties of the system: it counts what it serves, tells a few instances, and does the
 * duties while it holds their lease. Used on one thread.
 */
final class Duties {
    /** The key from which all instances derive the candidates for the duties, who keep all counts. */
    private static final String KEY = "duties";

    private static final Logger log = System.getLogger(Duties.class.getName());

    private final RelayInstanceSettings settings;

    private final EventLoop loop;

    private final WorkSharing sharing;

    private final BackendDirectory directory;

    private final CurrentCatalog catalog;

    private final UsageWindows windows;

    private final UsageTotals totals;

    private final SharedClock clock;

    /** The lease under which the duties are done, null before the start and where there are none. */
    private LogLease lease;

    private Duties(
            RelayInstanceSettings settings,
            EventLoop loop,
            WorkSharing sharing,
            BackendDirectory directory,
            CurrentCatalog catalog) {
        this.settings = settings;
        this.loop = loop;
        this.sharing = sharing;
        this.directory = directory;
        this.catalog = catalog;
        this.windows = UsageWindows.create(settings.duties().usageWindowMillis());
        this.totals = UsageTotals.create(loop.ticker());
        this.clock = SharedClock.create(System::currentTimeMillis, loop.ticker());
    }

    /** Creates the part of an instance that has not started. */
    static Duties create(
            RelayInstanceSettings settings,
            EventLoop loop,
            WorkSharing sharing,
            BackendDirectory directory,
            CurrentCatalog catalog) {
        return new Duties(settings, loop, sharing, directory, catalog);
    }

    /** Counts a request of a customer that a server has begun to run at the given time of the ticker. */
    void recordBegun(String customer, long nanos) {
        if (settings.duties().reportsUsage()) {
            long agoMillis = (loop.ticker().nanos() - nanos) / 1_000_000;
            windows.record(customer, trueMillis() - agoMillis);
        }
    }

    /** Starts to take part in the duties, if the settings name any. */
    void start(PlatformAdapter platform) {
        if (!settings.duties().any()) {
            return;
        }
        if (platform.api().isEmpty()) {
            Event.named("duties_not_done")
                    .with("why", "the settings name no address of the API")
                    .log(log, Level.ERROR);
            return;
        }
        UsageReporter reporter = UsageReporter.create(
                windows,
                totals,
                settings.duties().usageDueMillis(),
                fact -> lease.state(fact),
                this::trueMillis,
                loop.ticker());
        CapacityController capacity = CapacityController.create(directory, loop.ticker());
        lease = LogLease.start(
                platform.dutyLease(),
                settings.name(),
                LeaseOptions.of(LeaseTerms.DUTIES, settings.firstStart())
                        .withPlace(() -> sharing.placeAmongCandidates(KEY, LeaseTerms.DUTIES.candidates()))
                        .withFacts(fact -> {
                            reporter.onFact(fact);
                            capacity.onFact(fact);
                        }),
                loop.ticker(),
                System::currentTimeMillis,
                loop.scheduler());
        startExchange();
        startController(platform.api().get(), reporter, capacity);
    }

    private void startExchange() {
        if (!settings.duties().reportsUsage()) {
            return;
        }
        UsageExchange exchange = UsageExchange.create(
                new UsageExchange.Sender(
                        settings.name(),
                        System.currentTimeMillis(),
                        () -> candidates().others(),
                        sharing::allInstances,
                        () -> lease.isHeld() && !isCandidate(),
                        name -> sharing.find(name).map(ListedInstance::address),
                        sharing::send),
                windows,
                totals,
                clock,
                loop.ticker());
        sharing.register(UsageExchange::recognizes, exchange::receive);
        loop.runRepeatedly("usage", () -> {
            exchange.tell();
            return UsageExchange.INTERVAL_MILLIS;
        });
    }

    private void startController(PlatformApi api, UsageReporter reporter, CapacityController capacity) {
        DutySettings duties = settings.duties();
        DutyController controller =
                DutyController.create(settings.name(), duties, lease, api, reporter, capacity, catalog, loop.ticker());
        loop.runRepeatedly("duties", controller::step);
    }

    /** Gives the lease up at the planned stop of the instance. */
    void stop() {
        if (lease != null) {
            lease.release(0);
            lease.stop();
        }
    }

    private boolean isCandidate() {
        return candidates().includesSelf();
    }

    private StreamHomes candidates() {
        return sharing.homes(KEY);
    }

    private long trueMillis() {
        return clock.millis();
    }
}
