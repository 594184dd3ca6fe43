package org.verbenatray.scheduling;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.verbenatray.time.Ticker;

/**
 * Shares the room for prompts among customers, for a load in which more come for some seconds than the engines process
 * in time, and a few customers send most of them. While prompts wait long, those of a customer beyond its max-min share
 * are deferred, so that they run when nothing else waits; else nothing is held back. All sums fade, so a customer that
 * sends nothing is forgotten. Used on one thread.
 */
final class CustomerShares {
    /** The time after which work counts about a third, in milliseconds; several changes of the mix of prompts. */
    private static final double FADING_MILLIS = 8_000;

    /** The work below which a customer is forgotten, in milliseconds. */
    private static final double FORGOTTEN_MILLIS = 0.5;

    private final Ticker ticker;

    private final Map<String, Account> accounts = new HashMap<>();

    /** The work of all prompts with regular priority, in milliseconds: what the engines have had room for. */
    private double admittedMillis;

    private long fadedNanos;

    private CustomerShares(Ticker ticker) {
        this.ticker = ticker;
        this.fadedNanos = ticker.nanos();
    }

    /** Creates an object that knows no customer. */
    static CustomerShares create(Ticker ticker) {
        return new CustomerShares(ticker);
    }

    /**
     * Decides whether a prompt is scheduled with regular priority, and records it.
     *
     * @param customer whose prompt it is
     * @param workMillis the time that an engine takes for it, in milliseconds
     * @param onTime whether it is expected on time with regular priority
     * @param isRoomShort whether it has to wait long for others
     */
    boolean admit(String customer, double workMillis, boolean onTime, boolean isRoomShort) {
        fade();
        Account account = accounts.computeIfAbsent(customer, name -> new Account());
        account.askedMillis += workMillis;
        if (!onTime || isRoomShort && account.admittedMillis > shareMillis()) {
            return false;
        }
        account.admittedMillis += workMillis;
        admittedMillis += workMillis;
        return true;
    }

    /** Returns the number of customers that are known. */
    int customers() {
        return accounts.size();
    }

    private void fade() {
        double elapsedMillis = (ticker.nanos() - fadedNanos) / 1e6;
        fadedNanos = ticker.nanos();
        double factor = Math.exp(-elapsedMillis / FADING_MILLIS);
        admittedMillis *= factor;
        for (Iterator<Account> all = accounts.values().iterator(); all.hasNext(); ) {
            Account account = all.next();
            account.askedMillis *= factor;
            account.admittedMillis *= factor;
            if (account.askedMillis < FORGOTTEN_MILLIS) {
                all.remove();
            }
        }
    }

    /** Returns the max-min share: the most of each customer, if all together is to be no more than was admitted. */
    private double shareMillis() {
        double[] asked = accounts.values().stream()
                .mapToDouble(account -> account.askedMillis)
                .sorted()
                .toArray();
        double leftMillis = admittedMillis;
        for (int index = 0; index < asked.length; index++) {
            double equalMillis = leftMillis / (asked.length - index);
            if (asked[index] > equalMillis) {
                return equalMillis;
            }
            leftMillis -= asked[index];
        }
        return Double.POSITIVE_INFINITY;
    }

    /** The recent work of a customer. */
    private static final class Account {
        /** The work of all its prompts, in milliseconds. */
        private double askedMillis;

        /** The work of its prompts with regular priority, in milliseconds. */
        private double admittedMillis;
    }
}
