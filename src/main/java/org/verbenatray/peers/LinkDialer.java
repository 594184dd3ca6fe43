package org.verbenatray.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/** Dials the planned links and dials failed ones again with exponential backoff. Used on the link thread only. */
final class LinkDialer {
    private static final long INITIAL_BACKOFF_MILLIS = 200;

    private static final long MAX_BACKOFF_MILLIS = 10_000;

    /** Bounds the shift of the initial backoff, which would overflow otherwise. */
    private static final int MAX_DOUBLINGS = 6;

    private final Bootstrap bootstrap;

    private final Ticker ticker;

    /** The planned links by name of the peer. */
    private final Map<String, Target> targets = new TreeMap<>();

    private LinkDialer(Bootstrap bootstrap, Ticker ticker) {
        this.bootstrap = bootstrap;
        this.ticker = ticker;
    }

    /** Returns a dialer without targets. */
    static LinkDialer create(Bootstrap bootstrap, Ticker ticker) {
        return new LinkDialer(bootstrap, ticker);
    }

    /** Replaces the planned links; a target whose address is unchanged keeps its backoff. */
    void setTargets(Collection<PeerAddress> addresses) {
        Map<String, Target> next = new TreeMap<>();
        for (PeerAddress address : addresses) {
            Target before = targets.get(address.instance());
            boolean same = before != null && before.address.equals(address);
            next.put(address.instance(), same ? before : new Target(address, new Deadline(ticker.nanos())));
        }
        targets.clear();
        targets.putAll(next);
    }

    /** Returns whether a link to the instance is planned. */
    boolean isTarget(String instance) {
        return targets.containsKey(instance);
    }

    /** Resets the backoff of an instance after it sent a heartbeat. */
    void resetBackoff(String instance) {
        Target target = targets.get(instance);
        if (target != null) {
            target.failures = 0;
        }
    }

    /** Dials the targets that are due and have no open link. */
    void dialDue(Predicate<String> isOpen) {
        for (Target target : targets.values()) {
            if (!isOpen.test(target.address.instance()) && target.nextAttempt.hasPassed(ticker.nanos())) {
                dial(target);
            }
        }
    }

    /** Starts a connection attempt, unless one is in progress, and schedules the next one in case it fails. */
    private void dial(Target target) {
        if (target.lastAttempt != null && target.lastAttempt.channel().isOpen()) {
            return;
        }
        target.nextAttempt = Deadline.afterMillis(ticker.nanos(), backoffMillis(target.failures));
        target.failures++;
        target.lastAttempt = bootstrap.connect(target.address.host(), target.address.port());
    }

    /** Returns the backoff in milliseconds after a number of consecutive failed attempts. */
    static long backoffMillis(int failures) {
        return Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(failures, MAX_DOUBLINGS));
    }

    /** A peer to dial, with its backoff state. */
    private static final class Target {
        private final PeerAddress address;

        private Deadline nextAttempt;

        /** The consecutive attempts after which no heartbeat arrived. */
        private int failures;

        /** The last attempt, null before the first one. */
        private ChannelFuture lastAttempt;

        Target(PeerAddress address, Deadline nextAttempt) {
            this.address = address;
            this.nextAttempt = nextAttempt;
        }
    }
}
