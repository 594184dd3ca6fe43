package org.verbenatray.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendStage;

/**
 * Draws the engines among which a short prompt is placed, for fleets in which an instance learns late of the work of
 * others. If each took the best of all engines, all of them would take the same one until they hear of it. The best of
 * a few random engines is almost as good, and different instances draw different ones. Used on one thread.
 */
public final class EngineSample {
    /** The engines of the own domain that are drawn; with three, all of them are seldom slow ones. */
    private static final int OWN_DOMAIN = 3;

    /** The engines drawn that generate output: one or more of other domains, for when the own is full. */
    private static final int GENERATING = 4;

    private final String domain;

    /** Returns values from 0 to 1. */
    private final DoubleSupplier random;

    private EngineSample(String domain, DoubleSupplier random) {
        this.domain = domain;
        this.random = random;
    }

    /** Creates an object that draws for an instance in the given failure domain, by random values from 0 to 1. */
    public static EngineSample create(String domain, DoubleSupplier random) {
        return new EngineSample(domain, random);
    }

    /** Returns a few of the engines, among them one that only processes prompts if there is one. */
    public List<Backend> draw(List<Backend> engines) {
        List<Backend> own = new ArrayList<>();
        List<Backend> others = new ArrayList<>();
        List<Backend> prefill = new ArrayList<>();
        for (Backend engine : engines) {
            boolean isOwn = engine.entry().domain().equals(domain);
            List<Backend> group = engine.entry().stage() == BackendStage.PREFILL ? prefill : isOwn ? own : others;
            group.add(engine);
        }
        List<Backend> drawn = new ArrayList<>();
        move(own, drawn, OWN_DOMAIN);
        move(others, drawn, GENERATING - drawn.size());
        move(prefill, drawn, 1);
        return drawn;
    }

    /** Moves random elements, at most the given number, from one list to another. */
    private void move(List<Backend> from, List<Backend> to, int count) {
        for (int moved = 0; moved < count && !from.isEmpty(); moved++) {
            int index = Math.min(from.size() - 1, (int) (random.getAsDouble() * from.size()));
            to.add(from.remove(index));
        }
    }
}
