package org.verbenatray.authority;

/**
 * The times of a {@link LogLease}, in milliseconds.
 *
 * @param activeMillis for how long the holder may act after it began to send its last accepted renewal
 * @param renewMillis the time between two renewals
 * @param termMillis the time without a new record after which other processes claim the lease
 * @param takeoverMillis for how long a new holder waits before it acts, since calls of the former one may arrive late
 * @param readMillis the time between two reads of a candidate
 * @param distantReadMillis the time between two reads of a process that is no candidate
 * @param candidates the number of processes that watch the lease closely; the others look rarely and claim it last
 */
public record LeaseTerms(
        long activeMillis,
        long renewMillis,
        long termMillis,
        long takeoverMillis,
        long readMillis,
        long distantReadMillis,
        int candidates) {
    /**
     * The times of the lease under which engines are given orders. An order may be carried out seconds after it was
     * sent, so a new holder waits long.
     */
    public static final LeaseTerms ORDERS = new LeaseTerms(5_000, 3_000, 12_000, 9_000, 4_000, 16_000, 6);

    /**
     * The times of the lease under which one process does a duty with a due time. Its calls end within a second, and a
     * holder that is lost is replaced within six.
     */
    public static final LeaseTerms DUTIES = new LeaseTerms(2_500, 1_000, 3_500, 1_200, 1_000, 12_000, 3);

    /** Fails with {@link IllegalArgumentException} if a new holder could act beside the former one. */
    public LeaseTerms {
        if (renewMillis >= activeMillis || activeMillis >= termMillis + takeoverMillis) {
            throw new IllegalArgumentException("raise the term and the takeover time above the active time, "
                    + "and the active time above the time between renewals");
        }
    }
}
