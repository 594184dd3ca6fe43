package org.verbenatray.authority;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.verbenatray.log.ConditionalLog;
import org.verbenatray.log.LogEpoch;
import org.verbenatray.log.LogUnavailableException;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.ManualTime;

/**
 * A conditional log in simulated time that can be restored from an older copy, and whose answers can be lost, late, or
 * given to a call that takes effect seconds later.
 */
final class RestorableLog {
    private static final long TIMEOUT_MILLIS = 900;

    private static final int MAX_LATENCY_MILLIS = 50;

    /** The longest time after which a call without an answer takes effect, in milliseconds. */
    private static final int MAX_LATE_MILLIS = 4_000;

    private final ManualTime time;
    private final Random random;
    private final List<Copy> copies = new ArrayList<>();
    private List<byte[]> records = new ArrayList<>();

    /** The epoch of an installation that was never restored. */
    private long epoch = 1;

    RestorableLog(ManualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    /** Takes a copy from which the log may be restored. */
    void copy() {
        copies.add(new Copy(time.nanos(), List.copyOf(records)));
    }

    /** Restores the log from a copy of the given age, or the oldest one. */
    void restore(long ageMillis) {
        long until = time.nanos() - ageMillis * 1_000_000;
        Copy restored = copies.stream()
                .filter(copy -> copy.nanos <= until)
                .reduce((first, second) -> second)
                .orElse(copies.get(0));
        copies.removeIf(copy -> copy.nanos > restored.nanos);
        records = new ArrayList<>(restored.records);
        epoch++;
    }

    /** Returns the log as one process sees it, with an epoch of its own. */
    ConditionalLog view(BooleanSupplier reachable) {
        LogEpoch seen = LogEpoch.unknown();
        return new ConditionalLog() {
            @Override
            public LogEpoch epoch() {
                return seen;
            }

            @Override
            public CompletableFuture<OptionalLong> appendAt(long end, List<byte[]> contents) {
                return call(reachable, seen, () -> {
                    if (end != records.size()) {
                        return OptionalLong.empty();
                    }
                    records.addAll(contents);
                    return OptionalLong.of(records.size() - 1);
                });
            }

            @Override
            public CompletableFuture<Void> append(byte[] content) {
                throw new UnsupportedOperationException("a lease appends at an offset only");
            }

            @Override
            public CompletableFuture<Tail> read(long from, long waitMillis) {
                return call(reachable, seen, () -> {
                    int begin = (int) Math.min(from, records.size());
                    return new ConditionalLog.Tail(records.size(), List.copyOf(records.subList(begin, records.size())));
                });
            }
        };
    }

    /** Runs a call after some time and answers it after some more; may lose the answer. */
    private <T> CompletableFuture<T> call(BooleanSupplier reachable, LogEpoch seen, Supplier<T> effect) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        after(TIMEOUT_MILLIS, () -> fail(answer, "timeout"));
        if (!reachable.getAsBoolean()) {
            return answer;
        }
        boolean late = random.nextInt(12) == 0;
        boolean lost = late || random.nextInt(12) == 0;
        after(late ? random.nextInt(MAX_LATE_MILLIS) : random.nextInt(MAX_LATENCY_MILLIS), () -> {
            T result = effect.get();
            long answeredEpoch = epoch;
            if (!lost) {
                after(random.nextInt(MAX_LATENCY_MILLIS), () -> answer(answer, result, answeredEpoch, reachable, seen));
            }
        });
        return answer;
    }

    private static <T> void answer(
            CompletableFuture<T> answer, T result, long epoch, BooleanSupplier reachable, LogEpoch seen) {
        if (!reachable.getAsBoolean() || answer.isDone()) {
            return;
        }
        if (seen.record(epoch)) {
            answer.complete(result);
        } else {
            fail(answer, "older epoch");
        }
    }

    private static void fail(CompletableFuture<?> answer, String why) {
        answer.completeExceptionally(new LogUnavailableException(why, null));
    }

    private void after(long millis, Runnable task) {
        time.runAt(Deadline.afterMillis(time.nanos(), millis), task);
    }

    /** The records at a time. */
    private record Copy(long nanos, List<byte[]> records) {}
}
