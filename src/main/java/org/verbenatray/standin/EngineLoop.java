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
import org.verbenatray.orders.OrderResponse;
import org.verbenatray.servers.HttpEngineOrders.SentOrder;
import org.verbenatray.standin.engine.EngineEvent;
import org.verbenatray.standin.engine.EngineLoad;
import org.verbenatray.standin.engine.EngineModel;
import org.verbenatray.standin.engine.EngineRefusal;
import org.verbenatray.standin.engine.EngineRequest;
import org.verbenatray.standin.engine.KvExport;
import org.verbenatray.time.Ticker;

/**
 * Runs an {@link EngineModel} in real time on one dedicated thread. Methods marked as such must be called on that
 * thread, inside an action of {@link #callOnLoop}.
 */
final class EngineLoop {
    /**
     * The number of dispatches above which finished ones are evicted. Records are kept so that clients can resume a
     * stream.
     */
    private static final int MAX_STREAM_RECORDS = 4_096;

    private final ScheduledExecutorService executor;

    private final Ticker ticker;

    private final EngineModel model;

    /** The dispatches by id, oldest first. */
    private final Map<String, StreamRecord> records = new LinkedHashMap<>();

    private final OrderHandler orderHandler;

    private final String name;

    /**
     * The incarnation, which increases with every start and crash. It starts as the wall-clock time in milliseconds.
     */
    private volatile long incarnation = System.currentTimeMillis();

    /** The number of tokens generated so far. */
    private final AtomicLong generatedTokens = new AtomicLong();

    /** The sequence number of the last load report. */
    private long loadReportSequence;

    /** Whether the engine accepts no new dispatches because it is leaving. */
    private volatile boolean leaving;

    EngineLoop(String name, EngineModel model, Ticker ticker, boolean checksFencing) {
        this.name = name;
        this.model = model;
        this.ticker = ticker;
        this.orderHandler = new OrderHandler(model, checksFencing);
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "engine-" + name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Returns the number of tokens generated so far. */
    long generatedTokens() {
        return generatedTokens.get();
    }

    /** Returns the incarnation, which increases with every start and crash. */
    long incarnation() {
        return incarnation;
    }

    /** Runs an action on the engine's thread, with the model advanced to the current time before and after it. */
    <T> CompletableFuture<T> callOnLoop(Supplier<T> action) {
        return CompletableFuture.supplyAsync(
                () -> {
                    advanceModel();
                    T result = action.get();
                    advanceModel();
                    return result;
                },
                executor);
    }

    /** Returns the order handler. Must be used inside {@link #callOnLoop}. */
    OrderHandler orderHandler() {
        return orderHandler;
    }

    /** Handles an order. Must be called inside {@link #callOnLoop}. */
    OrderResponse handleOrder(SentOrder order) {
        OrderResponse reply = orderHandler.handle(order, ticker.nanos());
        leaving = leaving || orderHandler.isWithdrawn();
        return reply;
    }

    /** Marks the engine as leaving, so that it accepts no new dispatches. */
    void startLeaving() {
        leaving = true;
    }

    /** Returns whether the engine is leaving. */
    boolean isLeaving() {
        return leaving;
    }

    /** Returns a new load report. Must be called inside {@link #callOnLoop}. */
    LoadReport loadReport() {
        EngineLoad load = model.load();
        return new LoadReport(
                name,
                incarnation,
                ++loadReportSequence,
                load.role(),
                leaving,
                load.condition() == EngineCondition.CHANGING,
                model.acceptedStreams(),
                load.queuedPrefillTokens(),
                model.committedKvTokens(),
                0);
    }

    /**
     * Submits a request to the model, or returns the reason for rejecting it. Must be called inside {@link
     * #callOnLoop}.
     */
    Optional<EngineRefusal> submit(EngineRequest request) {
        Optional<EngineRefusal> refusal = model.submit(request, ticker.nanos());
        if (refusal.isEmpty()) {
            records.put(request.id(), new StreamRecord(request.id(), request.seed(), request.startOffset()));
            evictOldestFinished();
        }
        return refusal;
    }

    /**
     * Imports the KV cache of a prompt that another engine processed, or returns the reason for rejecting it. Must be
     * called inside {@link #callOnLoop}.
     */
    Optional<EngineRefusal> importKv(KvExport export) {
        Optional<EngineRefusal> refusal = model.importKv(export, ticker.nanos());
        if (refusal.isEmpty()) {
            EngineRequest request = export.request();
            records.put(request.id(), new StreamRecord(request.id(), request.seed(), export.nextOffset()));
            evictOldestFinished();
        }
        return refusal;
    }

    /** Returns the record of a dispatch; empty if it is unknown. Must be called inside {@link #callOnLoop}. */
    Optional<StreamRecord> streamRecord(String dispatch) {
        return Optional.ofNullable(records.get(dispatch));
    }

    /** Cancels a dispatch. Returns false if the model does not know it. Must be called inside {@link #callOnLoop}. */
    boolean cancel(String dispatch) {
        streamRecord(dispatch).ifPresent(StreamRecord::abort);
        records.remove(dispatch);
        return model.cancel(dispatch, ticker.nanos());
    }

    /**
     * Crashes the engine asynchronously: drops all dispatches, closes their connections and starts the next
     * incarnation, which rejects all dispatches until {@link #restart}. The future completes after that.
     */
    CompletableFuture<Void> crash() {
        return CompletableFuture.runAsync(
                () -> {
                    model.crash(ticker.nanos());
                    advanceModel();
                    new HashMap<>(records).values().forEach(StreamRecord::abort);
                    records.clear();
                    orderHandler.resetAfterCrash();
                    incarnation++;
                },
                executor);
    }

    /** Restarts a crashed engine asynchronously, before any action that is passed to {@link #callOnLoop} later. */
    void restart() {
        executor.execute(() -> model.restart(ticker.nanos()));
    }

    /** Stops the thread without finishing requests. */
    void stop() {
        executor.shutdownNow();
    }

    /** Advances the model to the current time, handles its events and schedules the next advance. */
    private void advanceModel() {
        for (EngineEvent event : model.advance(ticker.nanos())) {
            handle(event);
        }
        OptionalLong next = model.nextEventNanos();
        if (next.isPresent()) {
            long delay = Math.max(0, next.getAsLong() - ticker.nanos());
            scheduleAdvance(delay);
        }
    }

    /** Schedules an advance of the model. */
    private void scheduleAdvance(long delayNanos) {
        try {
            executor.schedule(this::advanceModelIfDue, delayNanos, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            // The loop was stopped.
        }
    }

    /** Advances the model unless an earlier advance has already processed what was due. */
    private void advanceModelIfDue() {
        OptionalLong next = model.nextEventNanos();
        if (next.isPresent() && next.getAsLong() <= ticker.nanos()) {
            advanceModel();
        }
    }

    /** Forwards an event to the affected stream record or the order handler. */
    private void handle(EngineEvent event) {
        if (event instanceof EngineEvent.TokenGenerated token) {
            generatedTokens.incrementAndGet();
            streamRecord(token.id()).ifPresent(stream -> stream.addToken(token.offset()));
        } else if (event instanceof EngineEvent.RequestFinished finished) {
            streamRecord(finished.id()).ifPresent(StreamRecord::finish);
        } else if (event instanceof EngineEvent.PrefillFinished prefilled) {
            KvExport export = prefilled.export();
            streamRecord(export.request().id()).ifPresent(stream -> stream.sendKvExport(RecordCodec.encode(export)));
        } else if (event instanceof EngineEvent.RequestReturned returned) {
            streamRecord(returned.id()).ifPresent(StreamRecord::abort);
            records.remove(returned.id());
        } else if (event instanceof EngineEvent.RoleChanged) {
            orderHandler.recordChangeCompleted(true);
        } else if (event instanceof EngineEvent.ModelLoaded) {
            orderHandler.recordChangeCompleted(false);
        }
    }

    /** Removes the oldest finished records while there are more than {@link #MAX_STREAM_RECORDS}. */
    private void evictOldestFinished() {
        Iterator<StreamRecord> oldest = records.values().iterator();
        while (records.size() > MAX_STREAM_RECORDS && oldest.hasNext()) {
            if (oldest.next().isFinished()) {
                oldest.remove();
            }
        }
    }
}
