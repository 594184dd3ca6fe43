package org.verbenatray.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.verbenatray.authority.LogLease;
import org.verbenatray.capacity.CapacityController;
import org.verbenatray.catalog.Catalog;
import org.verbenatray.catalog.CurrentCatalog;
import org.verbenatray.duties.DutyHolder;
import org.verbenatray.duties.DutyOutcome;
import org.verbenatray.duties.DutySettings;
import org.verbenatray.duties.PlatformApi;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;
import org.verbenatray.usage.UsageReporter;

/**
 * Does the duties of the system while this instance holds their lease, and hands the lease over if the platform's API
 * is out of its reach. Used on one thread.
 */
final class DutyController {
    /** The time between two steps in milliseconds. */
    static final long STEP_MILLIS = 200;

    /** The time for which the API fails each call after which the lease is handed over, in milliseconds. */
    private static final long UNREACHABLE_MILLIS = 4_000;

    /** The time for which this instance does not claim a lease that it has handed over, in milliseconds. */
    private static final long HANDED_OVER_MILLIS = 15_000;

    private static final Logger log = System.getLogger(DutyController.class.getName());

    private final String instance;

    private final DutySettings settings;

    private final LogLease lease;

    private final PlatformApi api;

    private final UsageReporter usage;

    private final CapacityController capacity;

    private final CurrentCatalog catalog;

    private final Ticker ticker;

    /** When the lease is handed over unless a call succeeds before, null after a success. */
    private Deadline handOver;

    /** The fencing token of the last step in which this instance held the lease, -1 before. */
    private long lastToken = -1;

    private DutyController(
            String instance,
            DutySettings settings,
            LogLease lease,
            PlatformApi api,
            UsageReporter usage,
            CapacityController capacity,
            CurrentCatalog catalog,
            Ticker ticker) {
        this.instance = instance;
        this.settings = settings;
        this.lease = lease;
        this.api = api;
        this.usage = usage;
        this.capacity = capacity;
        this.catalog = catalog;
        this.ticker = ticker;
    }

    /** Creates a controller for the instance with the given name, which acts while it holds the lease. */
    static DutyController create(
            String instance,
            DutySettings settings,
            LogLease lease,
            PlatformApi api,
            UsageReporter usage,
            CapacityController capacity,
            CurrentCatalog catalog,
            Ticker ticker) {
        return new DutyController(instance, settings, lease, api, usage, capacity, catalog, ticker);
    }

    /** Takes the next step of each duty; returns the time to the next step in milliseconds. */
    long step() {
        catalog.get().ifPresent(capacity::observe);
        OptionalLong token = lease.activeFencingToken();
        if (token.isEmpty()) {
            return STEP_MILLIS;
        }
        if (token.getAsLong() != lastToken) {
            lastToken = token.getAsLong();
            handOver = null;
            capacity.startAnew();
        }
        if (settings.reportsUsage()) {
            usage.step(report -> watch(api.reportUsage(holder(), report)));
        }
        if (settings.ordersServers()) {
            catalog.get().ifPresent(this::orderServers);
        }
        if (handOver != null && handOver.hasPassed(ticker.nanos())) {
            Event.named("duties_handed_over")
                    .with("why", "the API does not answer")
                    .log(log, Level.WARNING);
            lease.release(HANDED_OVER_MILLIS);
        }
        return STEP_MILLIS;
    }

    private void orderServers(Catalog current) {
        capacity.stateNeeds(current, lease::state);
        capacity.step(current, order -> watch(api.orderServers(holder(), order)));
    }

    private DutyHolder holder() {
        return new DutyHolder(instance, lastToken);
    }

    /** Notices whether the API is within reach. */
    private CompletableFuture<DutyOutcome> watch(CompletableFuture<DutyOutcome> call) {
        return call.thenApply(outcome -> {
            if (outcome != DutyOutcome.UNKNOWN) {
                handOver = null;
            } else if (handOver == null) {
                handOver = Deadline.afterMillis(ticker.nanos(), UNREACHABLE_MILLIS);
            }
            return outcome;
        });
    }
}
