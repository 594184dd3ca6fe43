package org.verbenatray.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/** Opens the planned links and opens them again with growing pauses. Used on the thread of the links only. */
final class LinkDialer {
    /** The first pause in milliseconds. */
    private static final long FIRST_PAUSE_MILLIS = 200;

    /** The longest pause in milliseconds. */
    private static final long MAX_PAUSE_MILLIS = 10_000;

    /** The largest number of doublings of the first pause. */
    private static final int MAX_DOUBLINGS = 6;

    /** The client side of connections. */
    private final Bootstrap bootstrap;

    /** The source of time. */
    private final Ticker ticker;

    /** The planned links by instance. */
    private final Map<String, Target> targets = new TreeMap<>();

    /** Creates a dialer. */
    private LinkDialer(Bootstrap bootstrap, Ticker ticker) {
        this.bootstrap = bootstrap;
        this.ticker = ticker;
    }

    /** Returns a dialer without targets. */
    static LinkDialer create(Bootstrap bootstrap, Ticker ticker) {
        return new LinkDialer(bootstrap, ticker);
    }

    /** Replaces the planned links; a target that stays keeps its pause. */
    void plan(Collection<PeerAddress> addresses) {
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
    boolean plans(String instance) {
        return targets.containsKey(instance);
    }

    /** Notes that the instance was heard, so that the next pause is short. */
    void heard(String instance) {
        Target target = targets.get(instance);
        if (target != null) {
            target.failures = 0;
        }
    }

    /** Opens the links that are due and not open. */
    void dialDue(Predicate<String> isOpen) {
        for (Target target : targets.values()) {
            if (!isOpen.test(target.address.instance()) && target.nextAttempt.passed(ticker.nanos())) {
                dial(target);
            }
        }
    }

    /** Opens one link and sets the time of the next attempt in case that this one fails. */
    private void dial(Target target) {
        if (target.pending != null && target.pending.channel().isOpen()) {
            return;
        }
        target.nextAttempt = Deadline.afterMillis(ticker.nanos(), pauseMillis(target.failures));
        target.failures++;
        target.pending = bootstrap.connect(target.address.host(), target.address.port());
    }

    /** Returns the pause after a number of failed attempts in a row. */
    static long pauseMillis(int failures) {
        return Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(failures, MAX_DOUBLINGS));
    }

    /** A planned link. */
    private static final class Target {
        /** Where the peer listens. */
        private final PeerAddress address;

        /** The time of the next attempt. */
        private Deadline nextAttempt;

        /** The attempts in a row that did not open a link. */
        private int failures;

        /** The last attempt, null before the first one. */
        private ChannelFuture pending;

        /** Creates a target. */
        Target(PeerAddress address, Deadline nextAttempt) {
            this.address = address;
            this.nextAttempt = nextAttempt;
        }
    }
}
