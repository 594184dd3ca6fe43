package org.verbenatray.log;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.ManualTime;

/** An in-memory keyed log that can be down, drop its history and lose its newest records. */
public final class FakeKeyedLog implements KeyedLog {
    private final List<Entry> records = new ArrayList<>();

    private int firstOffset;

    private boolean down;

    private int writes;

    private int calls;

    /** Runs the timeouts of reads that wait; empty if reads do not wait. */
    private final Optional<ManualTime> time;

    /** The reads that wait for a record. */
    private final List<WaitingRead> waitingReads = new ArrayList<>();

    /** Creates a log whose reads return at once. */
    public FakeKeyedLog() {
        this.time = Optional.empty();
    }

    private FakeKeyedLog(ManualTime time) {
        this.time = Optional.of(time);
    }

    /** Returns a log whose reads wait for a record as long as they say. */
    public static FakeKeyedLog waiting(ManualTime time) {
        return new FakeKeyedLog(time);
    }

    /** Makes all calls fail, or succeed again. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Drops the history; the newest record of each key is retained. */
    public void compact() {
        firstOffset = records.size();
    }

    /** Loses all records, so that offsets start anew. */
    public void loseAll() {
        records.clear();
        firstOffset = 0;
        endWaitingReads();
    }

    /** Returns the number of successful writes. */
    public int writes() {
        return writes;
    }

    /** Returns the number of calls of any kind, also those that failed. */
    public int calls() {
        return calls;
    }

    /** Returns the newest value of a key as text, empty if it was never written or is deleted. */
    public Optional<String> valueOf(String key) {
        return Optional.ofNullable(newest().get(key)).map(value -> new String(value, StandardCharsets.UTF_8));
    }

    /** Returns the number of keys that have a value. */
    public int keyCount() {
        return newest().size();
    }

    @Override
    public CompletableFuture<Page> newestRecords(Optional<String> after) {
        List<Entry> entries = new ArrayList<>();
        newest().forEach((key, value) -> entries.add(new Entry(key, Optional.of(value))));
        return respond(new Page(entries, false, records.size()));
    }

    @Override
    public CompletableFuture<List<Entry>> changes(long from, long waitMillis) {
        if (!down && (from < firstOffset || from > records.size())) {
            return CompletableFuture.failedFuture(new OffsetNotRetainedException("not retained"));
        }
        if (!down && waitMillis > 0 && from == records.size() && time.isPresent()) {
            return waitForRecord(from, waitMillis);
        }
        return respond(from > records.size() ? List.of() : List.copyOf(records.subList((int) from, records.size())));
    }

    @Override
    public CompletableFuture<Void> putAll(List<Entry> entries) {
        if (!down) {
            records.addAll(entries);
            writes++;
        }
        CompletableFuture<Void> written = respond(null);
        endWaitingReads();
        return written;
    }

    private CompletableFuture<List<Entry>> waitForRecord(long from, long waitMillis) {
        calls++;
        WaitingRead read = new WaitingRead(from, new CompletableFuture<>());
        waitingReads.add(read);
        ManualTime clock = time.get();
        clock.runAt(Deadline.afterMillis(clock.nanos(), waitMillis), () -> read.result.complete(List.of()));
        return read.result;
    }

    /** Ends the reads whose record has come, or whose offset the log has lost. */
    private void endWaitingReads() {
        List<WaitingRead> ended = waitingReads.stream()
                .filter(read -> read.from != records.size())
                .toList();
        waitingReads.removeAll(ended);
        ended.forEach(read -> {
            if (read.from > records.size()) {
                read.result.completeExceptionally(new OffsetNotRetainedException("not retained"));
            } else {
                read.result.complete(List.copyOf(records.subList((int) read.from, records.size())));
            }
        });
    }

    private Map<String, byte[]> newest() {
        Map<String, byte[]> newest = new LinkedHashMap<>();
        for (Entry entry : records) {
            if (entry.value().isPresent()) {
                newest.put(entry.key(), entry.value().get());
            } else {
                newest.remove(entry.key());
            }
        }
        return newest;
    }

    private <T> CompletableFuture<T> respond(T value) {
        calls++;
        return down
                ? CompletableFuture.failedFuture(new LogUnavailableException("down", null))
                : CompletableFuture.completedFuture(value);
    }

    /** A read that waits for a record from an offset on. */
    private record WaitingRead(long from, CompletableFuture<List<Entry>> result) {}
}
