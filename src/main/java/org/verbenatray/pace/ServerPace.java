package org.verbenatray.pace;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.verbenatray.backends.Backend;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Admits requests to servers that have failed, recovered or started. Each instance sees few requests, so that all of
 * them at once flood a server that looks idle, while each that has seen it fail leaves it alone for long. So a server
 * that has failed is tried by one instance of the group at a time, in turns that follow from a hash, so that nobody has
 * to agree on them. Once it answers one, or has started, it is used by as many instances as it has places, one request
 * each; good answers double their share at once, silence does so after a moment, and a rejection or failure halves it.
 * Instances of a group tell one another. Used on one thread.
 */
public final class ServerPace {
    /** The time after which the share is doubled though no answer was seen, in milliseconds. */
    private static final long RAISE_MILLIS = 400;

    /** The number of good answers at which the share is doubled at once. */
    private static final int ANSWERS_TO_RAISE = 2;

    /** How long the turn of an instance to try a server that has failed lasts, in milliseconds. */
    private static final long TURN_MILLIS = 400;

    /** The failures in a row from which a server is only used in turns; a single one may be due to the request. */
    private static final int FAILURES_FOR_TURNS = 2;

    private static final HashFunction HASH = Hashing.murmur3_128();

    private final String instance;

    /** Returns the number of instances that may use a server. */
    private final IntSupplier instances;

    private final Consumer<PaceNotice> onLearned;

    private final Ticker ticker;

    /** The servers whose pace is being found, by boot id. */
    private final Map<String, Ramp> ramps = new HashMap<>();

    /** The servers that are being tried after a failure, by boot id. */
    private final Set<String> trials = new HashSet<>();

    private ServerPace(String instance, IntSupplier instances, Consumer<PaceNotice> onLearned, Ticker ticker) {
        this.instance = instance;
        this.instances = instances;
        this.onLearned = onLearned;
        this.ticker = ticker;
    }

    /**
     * Creates an object that admits all requests.
     *
     * @param instance the name of this instance
     * @param instances returns the number of instances that may use a server
     * @param onLearned receives what is to be told to the others
     * @param ticker the clock
     */
    public static ServerPace create(
            String instance, IntSupplier instances, Consumer<PaceNotice> onLearned, Ticker ticker) {
        return new ServerPace(instance, instances, onLearned, ticker);
    }

    /** Returns whether this instance may send a request to a server now. */
    public boolean admits(Backend server) {
        String boot = server.entry().bootId();
        if (server.consecutiveFailures() >= FAILURES_FOR_TURNS) {
            return hasTurn(boot) && server.openRequests() == 0;
        }
        Ramp ramp = current(boot);
        return ramp == null || ramp.position() < ramp.share() && server.openRequests() == 0;
    }

    /** Begins to try the servers that have failed, are no longer paused and whose turn it is. */
    public void beginTrials(Collection<Backend> servers) {
        for (Backend server : servers) {
            String boot = server.entry().bootId();
            if (server.consecutiveFailures() > 0 && !server.paused(ticker.nanos()) && hasTurn(boot)) {
                server.beginTrial();
                trials.add(boot);
            }
        }
    }

    /** Records that a server has started. */
    public void recordStarted(Backend server) {
        begin(server, firstShare(server));
    }

    /** Records a good answer, before the server forgets that it has failed. */
    public void recordSuccess(Backend server) {
        String boot = server.entry().bootId();
        boolean wasTried = trials.remove(boot) || server.consecutiveFailures() >= FAILURES_FOR_TURNS;
        Ramp ramp = current(boot);
        if (ramp == null) {
            if (wasTried) {
                double share = firstShare(server);
                begin(server, share);
                onLearned.accept(new PaceNotice(boot, PaceNotice.Kind.RECOVERED, share));
            }
            return;
        }
        Ramp answered = ramp.withAnswer();
        if (answered.answers() < ANSWERS_TO_RAISE) {
            ramps.put(boot, answered);
            return;
        }
        set(boot, answered.raised(nextRaise()));
        onLearned.accept(new PaceNotice(boot, PaceNotice.Kind.RAISED, Math.min(1, 2 * ramp.share())));
    }

    /** Records that a server whose pace is being found has rejected a request or has failed. */
    public void recordRefusal(Backend server) {
        String boot = server.entry().bootId();
        Ramp ramp = current(boot);
        if (ramp != null) {
            Ramp lowered = ramp.withShare(Math.max(smallestShare(), ramp.share() / 2), nextRaise());
            ramps.put(boot, lowered);
            onLearned.accept(new PaceNotice(boot, PaceNotice.Kind.LOWERED, lowered.share()));
        }
    }

    /** Applies what another instance has learned of a server. */
    public void receive(Backend server, PaceNotice notice) {
        String boot = server.entry().bootId();
        Ramp ramp = current(boot);
        switch (notice.kind()) {
            case RECOVERED -> {
                if (server.forgetFailures() && ramp == null) {
                    begin(server, notice.share());
                }
            }
            case RAISED -> {
                if (ramp != null && notice.share() > ramp.share()) {
                    set(boot, ramp.withShare(notice.share(), nextRaise()));
                }
            }
            case LOWERED -> {
                if (ramp != null) {
                    ramps.put(boot, ramp.withShare(Math.min(notice.share(), ramp.share()), nextRaise()));
                }
            }
        }
    }

    /** Forgets a server that has ended. */
    public void remove(String boot) {
        ramps.remove(boot);
        trials.remove(boot);
    }

    /** Returns the share of the instances that may use a server, 1 if its pace is not being found. */
    public double share(String boot) {
        Ramp ramp = current(boot);
        return ramp == null ? 1 : ramp.share();
    }

    private void begin(Backend server, double share) {
        if (share < 1) {
            String boot = server.entry().bootId();
            ramps.put(boot, new Ramp(share, position(boot + "|" + instance), 0, nextRaise()));
        }
    }

    /** Returns the ramp of a server, raised as often as it was due meanwhile; null if there is none. */
    private Ramp current(String boot) {
        Ramp ramp = ramps.get(boot);
        while (ramp != null && ramp.nextRaise().hasPassed(ticker.nanos())) {
            set(boot, ramp.raised(Deadline.afterMillis(ramp.nextRaise().atNanos(), RAISE_MILLIS)));
            ramp = ramps.get(boot);
        }
        return ramp;
    }

    /** Keeps a ramp, or ends it when all instances may use the server. */
    private void set(String boot, Ramp ramp) {
        if (ramp.share() >= 1) {
            ramps.remove(boot);
        } else {
            ramps.put(boot, ramp);
        }
    }

    private double firstShare(Backend server) {
        return Math.min(1, Math.max(1, server.entry().slots()) * smallestShare());
    }

    private double smallestShare() {
        return 1.0 / Math.max(1, instances.getAsInt());
    }

    private Deadline nextRaise() {
        return Deadline.afterMillis(ticker.nanos(), RAISE_MILLIS);
    }

    /** Returns whether it is the turn of this instance to try a server that has failed. */
    private boolean hasTurn(String boot) {
        long turn = ticker.nanos() / (TURN_MILLIS * 1_000_000);
        return position(boot + "|" + instance + "|" + turn) < smallestShare();
    }

    /** Returns a place from 0 to 1 that follows from a key. */
    private static double position(String key) {
        long hash = HASH.hashString(key, StandardCharsets.UTF_8).asLong();
        return (hash >>> 11) / (double) (1L << 53);
    }

    /**
     * A server whose pace is being found.
     *
     * @param share the share of the instances that may use it
     * @param position the place of this instance among them, 0 to 1
     * @param answers the number of good answers to this instance at this share
     * @param nextRaise when the share is doubled unless the server refuses before
     */
    private record Ramp(double share, double position, int answers, Deadline nextRaise) {
        Ramp raised(Deadline next) {
            return withShare(2 * share, next);
        }

        Ramp withShare(double other, Deadline next) {
            return new Ramp(other, position, 0, next);
        }

        Ramp withAnswer() {
            return new Ramp(share, position, answers + 1, nextRaise);
        }
    }
}
