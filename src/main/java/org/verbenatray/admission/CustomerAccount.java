package org.verbenatray.admission;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.verbenatray.configuration.FleetConfiguration.CustomerSpec;

/** The limits and open requests of one customer at this instance. Not thread-safe. */
final class CustomerAccount {
    /** Nanoseconds in one millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The level above which the bucket of tokens admits a request, which may overdraw it. */
    private static final double ANY_TOKENS = 1;

    /** The bounds of admission. */
    private final AdmissionBounds bounds;

    /** The bucket of requests. */
    private final TokenBucket requests;

    /** The bucket of prompt and output tokens. */
    private final TokenBucket tokens;

    /** The open requests. */
    private final Set<Ticket> open = new LinkedHashSet<>();

    /** The weight of the customer's fair share. */
    private double weight;

    /** The largest number of open requests. */
    private int maxOpen;

    /** Creates an account from its parts. */
    private CustomerAccount(AdmissionBounds bounds, TokenBucket requests, TokenBucket tokens) {
        this.bounds = bounds;
        this.requests = requests;
        this.tokens = tokens;
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

    /** Takes over the customer's limits; each of the instances grants an equal part of them. */
    void configure(CustomerSpec spec, int instances, long nowNanos) {
        double requestRate = spec.requestsPerSecond() / instances;
        double tokenRate = spec.tokensPerSecond() / instances;
        double requestBurst = Math.max(bounds.minBurstRequests(), requestRate * bounds.burstSeconds());
        requests.configure(requestRate, requestBurst, nowNanos);
        tokens.configure(tokenRate, Math.max(ANY_TOKENS, tokenRate * bounds.burstSeconds()), nowNanos);
        weight = Math.max(Double.MIN_NORMAL, spec.weight());
        maxOpen = (spec.maxOpen() + instances - 1) / instances;
    }

    /** Returns the refusal of a request that exceeds a limit of the customer. */
    Optional<Refusal> refusal(long nowNanos) {
        if (open.size() >= maxOpen) {
            return Optional.of(Refusal.comeBack(
                    RefusalKind.TOO_MANY_OPEN,
                    millisUntilFirstEnd(nowNanos),
                    "the customer has " + open.size() + " open requests"));
        }
        double requestMillis = requests.millisUntil(1, nowNanos);
        if (requestMillis > 0) {
            return Optional.of(limited(RefusalKind.RATE_LIMITED, requestMillis, "requests"));
        }
        double tokenMillis = tokens.millisUntil(ANY_TOKENS, nowNanos);
        if (tokenMillis > 0) {
            return Optional.of(limited(RefusalKind.TOKENS_LIMITED, tokenMillis, "tokens"));
        }
        return Optional.empty();
    }

    /** Opens a request and charges its expected tokens. */
    void open(Ticket ticket, long nowNanos) {
        open.add(ticket);
        requests.take(1, nowNanos);
        tokens.take(charge(ticket), nowNanos);
    }

    /** Closes a request that generated the given number of tokens. */
    void close(Ticket ticket, long outputTokens, long nowNanos) {
        if (open.remove(ticket)) {
            long expected = ticket.request().expectedOutputTokens();
            tokens.take(outputTokens - expected, nowNanos);
        }
    }

    /** Closes a request that was not run and gives its tokens back. */
    void withdraw(Ticket ticket, long nowNanos) {
        if (open.remove(ticket)) {
            tokens.take(-charge(ticket), nowNanos);
        }
    }

    /** Returns the weight of the customer's fair share. */
    double weight() {
        return weight;
    }

    /** Returns the number of open requests. */
    int openRequests() {
        return open.size();
    }

    /** Returns a refusal by a bucket. */
    private static Refusal limited(RefusalKind kind, double millis, String unit) {
        String reason = "the customer's limit of " + unit + " per second is used up";
        return Double.isFinite(millis) ? Refusal.comeBack(kind, millis, reason) : Refusal.lasting(kind, reason);
    }

    /** Returns the tokens that a request is charged when it is opened. */
    private static double charge(Ticket ticket) {
        return (double) ticket.request().promptTokens() + ticket.request().expectedOutputTokens();
    }

    /** Returns the time until the first open request is expected to end. */
    private double millisUntilFirstEnd(long nowNanos) {
        long remaining = open.stream()
                .mapToLong(ticket -> ticket.expectedEndNanos() - nowNanos)
                .min()
                .orElse(0);
        return remaining / NANOS_PER_MILLI;
    }
}
