package org.verbenatray.relay;

import java.util.function.Supplier;
import org.verbenatray.catalog.Route;
import org.verbenatray.resilience.RetryBudget;

/** The attempts of one call and the retries that it may still send. Used on one thread. */
final class RetryAllowance {
    /** Attempts allowed beyond the route's maximum while servers report that they did not run the request. */
    private static final int MAX_EXTRA_ATTEMPTS = 2;

    private final Route route;

    /** Returns the retry budget of the service. */
    private final Supplier<RetryBudget> budget;

    /** Attempts that a server received or may have received. */
    private int deliveries;

    /** Attempts in which the request may have run. */
    private int possibleRuns;

    /** Whether a retry was spent from the budget that has not been sent. */
    private boolean reserved;

    /** Whether a retry was refused because the budget was exhausted. */
    private boolean exhausted;

    private RetryAllowance(Route route, Supplier<RetryBudget> budget) {
        this.route = route;
        this.budget = budget;
    }

    /** Returns the allowance of a call that was not sent yet. */
    static RetryAllowance create(Route route, Supplier<RetryBudget> budget) {
        return new RetryAllowance(route, budget);
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
        return (route.repeatable() || possibleRuns + furtherRuns == 0)
                && possibleRuns + furtherRuns < route.maxAttempts()
                && deliveries + furtherRuns < route.maxAttempts() + MAX_EXTRA_ATTEMPTS;
    }

    /** Returns whether the request may be sent to another server; spends a retry if a server has received it before. */
    boolean tryReserveAttempt() {
        return attemptsLeft() && (deliveries == 0 || trySpendRetry());
    }

    /** Spends a retry ahead of its sending and returns true, or returns false if the budget is exhausted. */
    boolean reserveRetry() {
        reserved = trySpendRetry();
        return reserved;
    }

    /** Uses the reserved retry or spends one and returns true, or returns false if the budget is exhausted. */
    boolean trySpendRetry() {
        if (reserved) {
            reserved = false;
            return true;
        }
        boolean spent = budget.get().trySpend();
        exhausted |= !spent;
        return spent;
    }

    /** Keeps the retry that was spent for a sending that did not take place. */
    void keepRetry() {
        reserved = deliveries > 0;
    }
}
