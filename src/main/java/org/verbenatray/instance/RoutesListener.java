package org.verbenatray.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.verbenatray.catalog.Catalog;
import org.verbenatray.catalog.CurrentCatalog;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.state.KeyedFollower;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/** Puts the routes that the operator has written into force, never an older version than the one in force. */
final class RoutesListener implements KeyedFollower.Listener {
    private static final Logger log = System.getLogger(RoutesListener.class.getName());

    /** Reads the routes of a log entry; empty for an entry of another kind. */
    private final Function<KeyedLog.Entry, Optional<Catalog>> decoder;

    private final CurrentCatalog catalog;

    /** Receives the routes that have come into force. */
    private final Consumer<Catalog> onChanged;

    /** Returns the time within which changes must be in force, in milliseconds. */
    private final LongSupplier propagationMillis;

    private final Ticker ticker;

    RoutesListener(
            Function<KeyedLog.Entry, Optional<Catalog>> decoder,
            CurrentCatalog catalog,
            Consumer<Catalog> onChanged,
            LongSupplier propagationMillis,
            Ticker ticker) {
        this.decoder = decoder;
        this.catalog = catalog;
        this.onChanged = onChanged;
        this.propagationMillis = propagationMillis;
        this.ticker = ticker;
    }

    @Override
    public void onCaughtUp() {
        catalog.confirmUntil(Deadline.afterMillis(ticker.nanos(), propagationMillis.getAsLong()));
    }

    @Override
    public void onListing(List<KeyedLog.Entry> entries) {
        entries.forEach(this::onRecord);
        onCaughtUp();
    }

    @Override
    public void onRecord(KeyedLog.Entry entry) {
        decoder.apply(entry).filter(catalog::replaceIfNewer).ifPresent(this::putIntoForce);
    }

    private void putIntoForce(Catalog routes) {
        onChanged.accept(routes);
        Event.named("routes_in_force")
                .with("version", routes.version())
                .with("routes", routes.routeCount())
                .with("keys", routes.customers().keyCount())
                .log(log, Level.INFO);
    }
}
