package org.verbenatray.authority;

import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * How a process takes part in a {@link LogLease}.
 *
 * @param terms the times of the lease, the same at all processes
 * @param firstStart whether the whole system starts for the first time, so that an empty log was never claimed
 * @param place returns the place of this process in the order of candidates, zero for the first
 * @param onFact receives each fact that a holder states, also this process itself
 */
public record LeaseOptions(LeaseTerms terms, boolean firstStart, IntSupplier place, Consumer<String> onFact) {
    /** Returns the options of a lease without facts, at which all processes are candidates. */
    public static LeaseOptions of(LeaseTerms terms, boolean firstStart) {
        return new LeaseOptions(terms, firstStart, () -> 0, fact -> {});
    }

    /** Returns these options for a process that has a place in the order of candidates. */
    public LeaseOptions withPlace(IntSupplier other) {
        return new LeaseOptions(terms, firstStart, other, onFact);
    }

    /** Returns these options with a receiver of facts. */
    public LeaseOptions withFacts(Consumer<String> receiver) {
        return new LeaseOptions(terms, firstStart, place, receiver);
    }
}
