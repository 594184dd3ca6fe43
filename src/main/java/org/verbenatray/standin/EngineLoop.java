package org.verbenatray.standin;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.verbenatray.fleet.EngineCondition;
import org.verbenatray.fleet.LoadReport;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.orders.OrderReply;
import org.verbenatray.servers.HttpEngineOrders.SentOrder;
import org.verbenatray.standin.engine.EngineEvent;
import org.verbenatray.standin.engine.EngineLoad;
import org.verbenatray.standin.engine.EngineModel;
import org.verbenatray.standin.engine.EngineRefusal;
import org.verbenatray.standin.engine.EngineRequest;
import org.verbenatray.standin.engine.KvExport;
import org.verbenatray.time.Ticker;

/** Runs an {@link EngineModel} on the real clock on one thread of its own. */
final class EngineLoop {
    /** The number of finished dispatches that are kept for readers that come back. */
    private static final int MAX_RECORDS = 4_096;

    /** The thread. */
    private final ScheduledExecutorService executor;

    /** The clock. */
    private final Ticker ticker;

    /** The engine. */
    private final EngineModel model;

    /** The dispatches by id, the oldest first. */
    private final Map<String, StreamRecord> records = new LinkedHashMap<>();

    /** Takes the orders. */
    private final OrderDesk orders;

    /** The name of the engine. */
    private final String name;

    /** Grows with every start and crash. */
    private volatile long incarnation = System.currentTimeMillis();

    /** The tokens generated so far. */
    private final AtomicLong tokens = new AtomicLong();

    /** Grows with every load report. */
    private long reports;

    /** Whether the engine is leaving. */
    private volatile boolean leaving;

    /** Creates a loop. */
    EngineLoop(String name, EngineModel model, Ticker ticker, boolean checksFencing) {
        this.name = name;
        this.model = model;
        this.ticker = ticker;
        this.orders = new OrderDesk(model, checksFencing);
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "engine-" + name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Returns the tokens generated so far. */
    long tokens() {
        return tokens.get();
    }

    /** Returns the incarnation. */
    long incarnation() {
        return incarnation;
    }

    /** Runs a query or command on the engine's thread. */
    <T> CompletableFuture<T> ask(Supplier<T> action) {
        return CompletableFuture.supplyAsync(
                () -> {
                    pump();
                    T result = action.get();
                    pump();
                    return result;
                },
                executor);
    }

    /** Returns the desk of orders, for use inside of {@link #ask}. */
    OrderDesk orders() {
        return orders;
    }

    /** Takes an order, for use inside of {@link #ask}. */
    OrderReply order(SentOrder order) {
        OrderReply reply = orders.take(order, ticker.nanos());
        leaving = leaving || orders.isWithdrawn();
        return reply;
    }

    /** Marks the engine as leaving. */
    void leave() {
        leaving = true;
    }

    /** Returns whether the engine is leaving. */
    boolean isLeaving() {
        return leaving;
    }

    /** Returns the present load, for use inside of {@link #ask}. */
    LoadReport loadReport() {
        EngineLoad load = model.load();
        return new LoadReport(
                name,
                incarnation,
                ++reports,
                load.role(),
                leaving,
                load.condition() == EngineCondition.CHANGING,
                model.acceptedStreams(),
                load.queuedPrefillTokens(),
                model.committedKvTokens(),
                0);
    }

    /** Takes a request, for use inside of {@link #ask}. */
    Optional<EngineRefusal> submit(EngineRequest request) {
        Optional<EngineRefusal> refusal = model.submit(request, ticker.nanos());
        if (refusal.isEmpty()) {
            records.put(request.id(), new StreamRecord(request.id(), request.seed(), request.startOffset()));
            forgetOldest();
        }
        return refusal;
    }

    /** Takes the KV cache of a prompt that another engine processed, for use inside of {@link #ask}. */
    Optional<EngineRefusal> importKv(KvExport export) {
        Optional<EngineRefusal> refusal = model.importKv(export, ticker.nanos());
        if (refusal.isEmpty()) {
            EngineRequest request = export.request();
            records.put(request.id(), new StreamRecord(request.id(), request.seed(), export.nextOffset()));
            forgetOldest();
        }
        return refusal;
    }

    /** Returns what is kept of a dispatch, for use inside of {@link #ask}. */
    Optional<StreamRecord> record(String dispatch) {
        return Optional.ofNullable(records.get(dispatch));
    }

    /** Cancels a dispatch, for use inside of {@link #ask}. */
    boolean cancel(String dispatch) {
        record(dispatch).ifPresent(StreamRecord::lose);
        records.remove(dispatch);
        return model.cancel(dispatch, ticker.nanos());
    }

    /** Crashes the engine and starts it again after a while. */
    void crash(long restartMillis) {
        executor.execute(() -> {
            model.crash(ticker.nanos());
            pump();
            new HashMap<>(records).values().forEach(StreamRecord::lose);
            records.clear();
            orders.crashed();
            incarnation++;
            executor.schedule(() -> model.restart(ticker.nanos()), restartMillis, TimeUnit.MILLISECONDS);
        });
    }

    /** Stops the thread. */
    void stop() {
        executor.shutdownNow();
    }

    /** Runs what is due and arranges for what comes next. */
    private void pump() {
        for (EngineEvent event : model.advance(ticker.nanos())) {
            handle(event);
        }
        OptionalLong next = model.nextEventNanos();
        if (next.isPresent()) {
            long delay = Math.max(0, next.getAsLong() - ticker.nanos());
            schedule(delay);
        }
    }

    /** Runs the engine again after a delay. */
    private void schedule(long delayNanos) {
        try {
            executor.schedule(this::pumpOnce, delayNanos, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            // The loop was stopped.
        }
    }

    /** Runs what is due unless a later event made it run already. */
    private void pumpOnce() {
        OptionalLong next = model.nextEventNanos();
        if (next.isPresent() && next.getAsLong() <= ticker.nanos()) {
            pump();
        }
    }

    /** Passes one event on. */
    private void handle(EngineEvent event) {
        if (event instanceof EngineEvent.TokenGenerated token) {
            tokens.incrementAndGet();
            record(token.id()).ifPresent(stream -> stream.token(token.offset()));
        } else if (event instanceof EngineEvent.Finished finished) {
            record(finished.id()).ifPresent(StreamRecord::finish);
        } else if (event instanceof EngineEvent.PrefillFinished prefilled) {
            KvExport export = prefilled.export();
            record(export.request().id()).ifPresent(stream -> stream.export(RecordCodec.encode(export)));
        } else if (event instanceof EngineEvent.Returned returned) {
            record(returned.id()).ifPresent(StreamRecord::lose);
            records.remove(returned.id());
        } else if (event instanceof EngineEvent.RoleChanged) {
            orders.changed(true);
        } else if (event instanceof EngineEvent.ModelLoaded) {
            orders.changed(false);
        }
    }

    /** Keeps the number of records bounded. */
    private void forgetOldest() {
        Iterator<StreamRecord> oldest = records.values().iterator();
        while (records.size() > MAX_RECORDS && oldest.hasNext()) {
            if (oldest.next().isFinished()) {
                oldest.remove();
            }
        }
    }
}
