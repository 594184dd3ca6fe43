package org.verbenatray.usage;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.stream.LongStream;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * The true time, for machines whose clocks are sometimes set wrong by seconds. An instance that hears the times of many
 * others compares them with its own: what most of them agree on is taken as the true time, and an instance that is far
 * from it is told by how much. Nothing is corrected that differs by less than the tolerance. Used on one thread.
 */
public final class SharedClock {
    /** The difference to the others from which a clock is corrected, in milliseconds. */
    private static final long TOLERANCE_MILLIS = 250;

    /** The change of this machine's clock against its steady clock that counts as a step, in milliseconds. */
    private static final long STEP_MILLIS = 100;

    /** The time for which the time of another instance is compared, in milliseconds. */
    private static final long FRESH_MILLIS = 1_500;

    /** The time in which all instances tell their times once, and a little more, in milliseconds. */
    private static final long GATHER_MILLIS = 800;

    /** The fewest times, with its own, among which most can agree. */
    private static final int MIN_TIMES = 4;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private static final Logger log = System.getLogger(SharedClock.class.getName());

    /** Returns the time of this machine's clock in milliseconds since 1970. */
    private final LongSupplier wallMillis;

    private final Ticker ticker;

    /** By how much the true time is ahead of this machine's clock, in milliseconds. */
    private long correctionMillis;

    /** The difference between this machine's clock and its steady clock when they were last compared. */
    private long lastSkewMillis;

    /** Until when the times that others tell are only gathered. */
    private Deadline gatheringUntil;

    /** Until when corrections by others are ignored, as the last one may not have been noticed. */
    private Deadline correctedUntil;

    /** By how much the others are ahead of this instance, by name. */
    private final Map<String, Difference> differences = new HashMap<>();

    private SharedClock(LongSupplier wallMillis, Ticker ticker) {
        this.wallMillis = wallMillis;
        this.ticker = ticker;
        this.lastSkewMillis = skewMillis();
        this.gatheringUntil = Deadline.afterMillis(ticker.nanos(), GATHER_MILLIS);
        this.correctedUntil = new Deadline(ticker.nanos());
    }

    /** Creates a clock that is that of the machine until others tell otherwise. */
    public static SharedClock create(LongSupplier wallMillis, Ticker ticker) {
        return new SharedClock(wallMillis, ticker);
    }

    /** Returns the true time in milliseconds since 1970. */
    public long millis() {
        return wallMillis.getAsLong() + correctionMillis;
    }

    /**
     * Records the time that another instance has just told.
     *
     * @return by how many milliseconds that instance is to correct its time; empty if it agrees, or if that cannot be
     *     told yet
     */
    OptionalLong recordTold(String instance, long toldMillis) {
        long now = ticker.nanos();
        forgetAfterStep();
        long difference = toldMillis - millis();
        differences.put(instance, new Difference(difference, Deadline.afterMillis(now, FRESH_MILLIS)));
        differences.values().removeIf(told -> told.freshUntil().hasPassed(now));
        if (!gatheringUntil.hasPassed(now) || differences.size() + 1 < MIN_TIMES) {
            return OptionalLong.empty();
        }
        long median = median();
        if (Math.abs(median) > TOLERANCE_MILLIS) {
            shift(median);
            return OptionalLong.empty();
        }
        long error = difference - median;
        return Math.abs(error) > TOLERANCE_MILLIS ? OptionalLong.of(-error) : OptionalLong.empty();
    }

    /** Corrects the time as another instance, which hears most of them, has told. */
    void correct(long millis) {
        long now = ticker.nanos();
        if (correctedUntil.hasPassed(now)) {
            correctedUntil = Deadline.afterMillis(now, FRESH_MILLIS);
            shift(millis);
        }
    }

    /** Forgets the times of others if this machine's clock was set since. */
    private void forgetAfterStep() {
        long skew = skewMillis();
        if (Math.abs(skew - lastSkewMillis) > STEP_MILLIS) {
            gatherAnew();
        }
        lastSkewMillis = skew;
    }

    private void shift(long millis) {
        correctionMillis += millis;
        Event.named("clock_corrected")
                .with("ms", millis)
                .with("total_ms", correctionMillis)
                .log(log, Level.WARNING);
        gatherAnew();
    }

    private void gatherAnew() {
        differences.clear();
        gatheringUntil = Deadline.afterMillis(ticker.nanos(), GATHER_MILLIS);
    }

    private long skewMillis() {
        return wallMillis.getAsLong() - ticker.nanos() / NANOS_PER_MILLI;
    }

    /** Returns the median of the differences to the others and of none, the one to itself. */
    private long median() {
        long[] sorted = LongStream.concat(
                        LongStream.of(0), differences.values().stream().mapToLong(Difference::millis))
                .sorted()
                .toArray();
        return sorted[sorted.length / 2];
    }

    /**
     * A difference to another instance.
     *
     * @param millis by how much it is ahead
     * @param freshUntil until when it is compared
     */
    private record Difference(long millis, Deadline freshUntil) {}
}
