package org.verbenatray.admission;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.verbenatray.configuration.FleetConfiguration.CustomerSpec;
import org.verbenatray.time.TokenBucket;

/** The limits and open requests of one customer at this instance. Not thread-safe. */
final class CustomerAccount {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Tokens that the bucket must hold for a request to be accepted. The request may overdraw the bucket. */
    private static final double MIN_TOKENS = 1;

    private final AdmissionBounds bounds;

    private final TokenBucket requestBucket;

    /** Limits prompt and output tokens together. */
    private final TokenBucket tokenBucket;

    private final Set<Ticket> openTickets = new LinkedHashSet<>();

    private double weight;

    private int maxOpen;

    private CustomerAccount(AdmissionBounds bounds, TokenBucket requestBucket, TokenBucket tokenBucket) {
        this.bounds = bounds;
        this.requestBucket = requestBucket;
        this.tokenBucket = tokenBucket;
    }

    /** Returns an account with full buckets. */
    static CustomerAccount create(AdmissionBounds bounds, CustomerSpec spec, int instances, long nowNanos) {
        CustomerAccount account = new CustomerAccount(
                bounds,
                TokenBucket.full(0, Double.MAX_VALUE, nowNanos),
                TokenBucket.full(0, Double.MAX_VALUE, nowNanos));
        account.configure(spec, instances, nowNanos);
        return account;
    }

    /** Sets the customer's limits; each of the given number of instances grants an equal share of them. */
    void configure(CustomerSpec spec, int instances, long nowNanos) {
        double requestRate = spec.requestsPerSecond() / instances;
        double tokenRate = spec.tokensPerSecond() / instances;
        double requestBurst = Math.max(bounds.minBurstRequests(), requestRate * bounds.burstSeconds());
        requestBucket.configure(requestRate, requestBurst, nowNanos);
        tokenBucket.configure(tokenRate, Math.max(MIN_TOKENS, tokenRate * bounds.burstSeconds()), nowNanos);
        weight = Math.max(Double.MIN_NORMAL, spec.weight());
        maxOpen = (spec.maxOpen() + instances - 1) / instances;
    }

    /**
     * Returns the rejection of a request that exceeds a limit of the customer, or empty when it is within all limits.
     */
    Optional<AdmissionRejection> checkLimits(long nowNanos) {
        if (openTickets.size() >= maxOpen) {
            return Optional.of(AdmissionRejection.retryable(
                    RejectionReason.TOO_MANY_OPEN,
                    millisUntilFirstEnd(nowNanos),
                    "the customer has " + openTickets.size() + " open requests"));
        }
        double requestMillis = requestBucket.millisUntil(1, nowNanos);
        if (requestMillis > 0) {
            return Optional.of(rateLimited(RejectionReason.RATE_LIMITED, requestMillis, "requests"));
        }
        double tokenMillis = tokenBucket.millisUntil(MIN_TOKENS, nowNanos);
        if (tokenMillis > 0) {
            return Optional.of(rateLimited(RejectionReason.TOKENS_LIMITED, tokenMillis, "tokens"));
        }
        return Optional.empty();
    }

    /** Adds an open request and charges its expected tokens. */
    void open(Ticket ticket, long nowNanos) {
        openTickets.add(ticket);
        requestBucket.take(1, nowNanos);
        tokenBucket.take(chargedTokens(ticket), nowNanos);
    }

    /**
     * Removes a request that generated the given number of tokens, and corrects the charge by the difference from the
     * expected number.
     */
    void close(Ticket ticket, long outputTokens, long nowNanos) {
        if (openTickets.remove(ticket)) {
            long expected = ticket.request().expectedOutputTokens();
            tokenBucket.take(outputTokens - expected, nowNanos);
        }
    }

    /** Removes a request that did not run and refunds its tokens. Its use of the request rate is not refunded. */
    void cancel(Ticket ticket, long nowNanos) {
        if (openTickets.remove(ticket)) {
            tokenBucket.take(-chargedTokens(ticket), nowNanos);
        }
    }

    /** Returns the weight of the customer's fair share. */
    double weight() {
        return weight;
    }

    /** Returns the number of open requests. */
    int openRequests() {
        return openTickets.size();
    }

    /** Returns the rejection by a rate limit; it is permanent when the configured rate is zero. */
    private static AdmissionRejection rateLimited(RejectionReason reason, double millis, String unit) {
        String detail = "the customer's limit of " + unit + " per second is used up";
        return Double.isFinite(millis)
                ? AdmissionRejection.retryable(reason, millis, detail)
                : AdmissionRejection.permanent(reason, detail);
    }

    private static double chargedTokens(Ticket ticket) {
        return (double) ticket.request().promptTokens() + ticket.request().expectedOutputTokens();
    }

    /** Returns the milliseconds until the first open request is expected to end. */
    private double millisUntilFirstEnd(long nowNanos) {
        long remaining = openTickets.stream()
                .mapToLong(ticket -> ticket.expectedEndNanos() - nowNanos)
                .min()
                .orElse(0);
        return remaining / NANOS_PER_MILLI;
    }
}
