package org.verbenatray.relay;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.catalog.CurrentCatalog;
import org.verbenatray.placement.EnginePlanner;
import org.verbenatray.placement.PlainChooser;
import org.verbenatray.resilience.CrashLedger;
import org.verbenatray.resilience.RetryBudget;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.time.Ticker;
import org.xnio.XnioIoThread;

/**
 * What the relay works with; everything is used on the one thread.
 *
 * @param transport the connections to backend servers
 * @param thread the thread
 * @param ticker the clock
 * @param dialect the translation of headers
 * @param catalog the routes in force
 * @param directory the backend servers
 * @param chooser chooses servers of plain services
 * @param planner chooses engines
 * @param budgets the retry budget of each service
 * @param crashes the requests that crash servers
 * @param stopping whether the process is about to end
 * @param turningAway whether callers are better served by another instance
 * @param refusing whether new requests would not be finished before the process ends
 * @param metrics the counters
 * @param workChanged hears of each server at which the open work of this instance has changed
 * @param firstAsked estimates how long ago callers first asked
 * @param sizes decides when large prompts are taken up in turn
 * @param probe looks whether servers have crashed
 */
public record RelayParts(
        HttpTransport transport,
        XnioIoThread thread,
        Ticker ticker,
        RelayDialect dialect,
        CurrentCatalog catalog,
        BackendDirectory directory,
        PlainChooser chooser,
        EnginePlanner planner,
        Function<String, RetryBudget> budgets,
        CrashLedger crashes,
        BooleanSupplier stopping,
        BooleanSupplier turningAway,
        BooleanSupplier refusing,
        RelayMetrics metrics,
        Consumer<Backend> workChanged,
        FirstAsked firstAsked,
        SizeShares sizes,
        CrashProbe probe) {}
