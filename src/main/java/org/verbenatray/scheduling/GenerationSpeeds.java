package org.verbenatray.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.verbenatray.openwork.SpeedSample;

/**
 * How much slower or faster each engine generates output than the others, learned from the time between events; for
 * fleets of unequal engines, where a stream from a slow one pauses for too long when it is disturbed. An instance of a
 * large fleet sees few events of an engine, so instances tell one another theirs. Used on one thread.
 */
public final class GenerationSpeeds {
    /** The shortest time between two events from which anything is learned; events read together have less. */
    private static final double MIN_GAP_MILLIS = 5;

    /** The weight of the newest sample in the typical gap. */
    private static final double NEWEST_WEIGHT = 0.02;

    /** The number of samples that wait to be told; the oldest are dropped. */
    private static final int MAX_UNTOLD = 12;

    /** The share of gaps below the estimate of an engine: its gaps without much load tell its speed. */
    private static final double QUANTILE = 0.2;

    private final EngineSpeeds speeds = EngineSpeeds.ofQuantile(QUANTILE);

    /** The typical time between two events, over all engines; zero before the first sample. */
    private double typicalMillis;

    /** The samples of this instance that the others were not told. */
    private final Deque<SpeedSample> untold = new ArrayDeque<>();

    private GenerationSpeeds() {}

    /** Creates an object to which all engines are equal. */
    public static GenerationSpeeds create() {
        return new GenerationSpeeds();
    }

    /** Records a sample of this instance. */
    public void recordOwn(SpeedSample sample) {
        if (sample.gapMillis() >= MIN_GAP_MILLIS) {
            record(sample);
            untold.addLast(sample);
            if (untold.size() > MAX_UNTOLD) {
                untold.removeFirst();
            }
        }
    }

    /** Records a sample of this or another instance. */
    public void record(SpeedSample sample) {
        double weight = typicalMillis == 0 ? 1 : NEWEST_WEIGHT;
        typicalMillis += (sample.gapMillis() - typicalMillis) * weight;
        speeds.record(sample.boot(), typicalMillis, sample.gapMillis());
    }

    /** Returns the samples that the others were not told, and forgets them. */
    public List<SpeedSample> takeUntold() {
        List<SpeedSample> samples = new ArrayList<>(untold);
        untold.clear();
        return samples;
    }

    /** Returns the time between events of an engine, as a multiple of that of the others. */
    public double slowness(String boot) {
        return speeds.slowness(boot);
    }

    /** Forgets an engine that has ended. */
    public void remove(String boot) {
        speeds.remove(boot);
    }
}
