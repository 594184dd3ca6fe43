package org.verbenatray.standin;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.verbenatray.standin.engine.EngineEvent;
import org.verbenatray.standin.engine.EngineModel;
import org.verbenatray.standin.engine.EngineRefusal;
import org.verbenatray.standin.engine.EngineRequest;
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
    private final Map<String, StreamRecord> records = new java.util.LinkedHashMap<>();

    /** Receives the events that are not about streams. */
    private final java.util.function.Consumer<EngineEvent> observer;

    /** Changes with every start and crash. */
    private volatile String incarnation = UUID.randomUUID().toString();

    /** Creates a loop. */
    EngineLoop(String name, EngineModel model, Ticker ticker, java.util.function.Consumer<EngineEvent> observer) {
        this.model = model;
        this.ticker = ticker;
        this.observer = observer;
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "engine-" + name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Returns the incarnation. */
    String incarnation() {
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

    /** Returns the engine, for use inside of {@link #ask}. */
    EngineModel model() {
        return model;
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
            incarnation = UUID.randomUUID().toString();
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
            record(token.id()).ifPresent(stream -> stream.token(token.offset()));
        } else if (event instanceof EngineEvent.Finished finished) {
            record(finished.id()).ifPresent(StreamRecord::finish);
        } else if (event instanceof EngineEvent.Returned returned) {
            record(returned.id()).ifPresent(StreamRecord::lose);
            records.remove(returned.id());
        } else {
            observer.accept(event);
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
