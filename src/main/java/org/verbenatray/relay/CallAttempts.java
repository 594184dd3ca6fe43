package org.verbenatray.relay;

import java.util.function.Supplier;
import org.verbenatray.catalog.Route;
import org.verbenatray.resilience.RetryBudget;

/** The attempts of one call and the retries that it may still send. Used on one thread. */
final class CallAttempts {
    /**
     * Attempts allowed beyond the route's maximum while servers report that they did not run the request. A request
     * that may have run is not bound by it: it cannot be refused any more, and the retry budget bounds its attempts.
     */
    private static final int MAX_EXTRA_ATTEMPTS = 2;

    private final Route route;

    /** Returns the retry budget of the service. */
    private final Supplier<RetryBudget> budget;

    /** Attempts that a server received or may have received. */
    private int deliveries;

    /** Attempts in which the request may have run. */
    private int possibleRuns;

    /** Whether a retry was spent from the budget for a sending that has not taken place. */
    private boolean held;

    /** Whether the last sending used a retry. */
    private boolean used;

    /** Whether a retry was refused because the budget was exhausted. */
    private boolean exhausted;

    private CallAttempts(Route route, Supplier<RetryBudget> budget) {
        this.route = route;
        this.budget = budget;
    }

    /** Returns the allowance of a call that was not sent yet. */
    static CallAttempts create(Route route, Supplier<RetryBudget> budget) {
        return new CallAttempts(route, budget);
    }

    /** Records an attempt that a server received or may have received. */
    void recordDelivery(boolean mayHaveRun) {
        deliveries++;
        if (mayHaveRun) {
            possibleRuns++;
        }
    }

    /** Returns whether the request may have run in an attempt that has ended. */
    boolean mayHaveRun() {
        return possibleRuns > 0;
    }

    /** Returns whether a retry was refused because the budget was exhausted. */
    boolean exhausted() {
        return exhausted;
    }

    /** Returns whether the attempts of the route allow another server after the outcome of the last attempt. */
    boolean attemptsLeft() {
        return attemptsLeftAfter(0);
    }

    /** Returns whether the attempts of the route allow another server if the running attempt fails. */
    boolean attemptsLeftAfterCurrent() {
        return attemptsLeftAfter(1);
    }

    private boolean attemptsLeftAfter(int furtherRuns) {
        int runs = possibleRuns + furtherRuns;
        if (runs > 0) {
            return route.repeatable() && runs < route.maxAttempts();
        }
        return deliveries + furtherRuns < route.maxAttempts() + MAX_EXTRA_ATTEMPTS;
    }

    /** Returns whether the request may be sent to another server; holds a retry if a server has received it before. */
    boolean tryReserveAttempt() {
        return attemptsLeft() && (deliveries == 0 || tryHoldRetry());
    }

    /** Spends a retry for the next sending and returns true, or returns false if the budget is exhausted. */
    boolean tryHoldRetry() {
        if (!held) {
            held = budget.get().trySpend();
            exhausted |= !held;
        }
        return held;
    }

    /** Records that the request is sent, with the held retry if there is one. */
    void recordSending() {
        used = held;
        held = false;
    }

    /** Records that no byte of the last sending has left, so that its retry can be used again. */
    void recordNotSent() {
        held |= used;
        used = false;
    }

    /** Returns a retry that is not sent now to the budget. */
    void releaseRetry() {
        if (held) {
            budget.get().refund();
            held = false;
        }
    }
}
