package org.verbenatray.authority;

import java.util.Optional;
import org.verbenatray.authority.LeaseSteps.Circumstances;
import org.verbenatray.log.Appender;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Timing;

/**
 * Claims, renews and releases one lease for this instance.
 *
 * <p>The authority ends one term less a drift margin after the sending of the last accepted claim or renewal began, by
 * the monotonic clock of this instance, and at once when another accepted claim is read.
 */
public final class LeaseKeeper {
    /** The time between two steps in milliseconds. */
    private static final long STEP_MILLIS = 100;

    /** The lease's name. */
    private final String lease;

    /** The decisions. */
    private final LeaseSteps steps;

    /** The times of the lease. */
    private final LeaseTerms terms;

    /** The instance's name. */
    private final String instance;

    /** The rest of the instance. */
    private final LeaseSurroundings surroundings;

    /** The way to append records. */
    private final Appender appender;

    /** The sources of time. */
    private final Timing timing;

    /** What is remembered between steps. */
    private LeaseMemory memory;

    /** Whether this instance is leaving. */
    private boolean leaving;

    /** Whether no further step is scheduled. */
    private boolean stopped;

    /** Creates a keeper that does nothing before it is started. */
    private LeaseKeeper(
            String lease,
            String instance,
            LeaseTerms terms,
            LeaseSurroundings surroundings,
            Appender appender,
            Timing timing) {
        this.lease = lease;
        this.instance = instance;
        this.terms = terms;
        this.surroundings = surroundings;
        this.appender = appender;
        this.timing = timing;
        this.steps = new LeaseSteps(lease, instance, terms);
        this.memory = LeaseMemory.create(timing.ticker().nanos());
    }

    /**
     * Returns a keeper that does nothing before it is started.
     *
     * @param lease the lease's name, the failure domain of the engines
     * @param instance the author of this instance's records; no second process may ever use the name
     */
    public static LeaseKeeper create(
            String lease,
            String instance,
            LeaseTerms terms,
            LeaseSurroundings surroundings,
            Appender appender,
            Timing timing) {
        return new LeaseKeeper(lease, instance, terms, surroundings, appender, timing);
    }

    /** Starts to claim the lease and to keep it. */
    public void start() {
        timing.scheduler().runAt(timing.inMillis(0), this::run);
    }

    /** Ends all steps without a release, as a killed process would. */
    public synchronized void stop() {
        stopped = true;
    }

    /** Gives up the authority at once and releases the lease as soon as no own order can still reach an engine. */
    public synchronized void leave() {
        leaving = true;
    }

    /** Returns whether the log shows that this instance neither holds the lease nor owes a release of it. */
    public synchronized boolean hasLeft() {
        Optional<LeaseState> view = observe(timing.ticker().nanos());
        boolean owes = view.isPresent() && view.get().unreleased().containsKey(instance);
        return leaving && memory.tenure().isEmpty() && memory.attempt().isEmpty() && !owes;
    }

    /** Returns the authority at the given time, after a look at what the fold has read. */
    public synchronized Optional<Authority> authority(long nowNanos) {
        Optional<LeaseState> view = observe(nowNanos);
        if (leaving || stopped || memory.tenure().isEmpty()) {
            return Optional.empty();
        }
        LeaseMemory.Tenure tenure = memory.tenure().get();
        if (tenure.end().passed(nowNanos)) {
            return Optional.empty();
        }
        boolean settled = view.isPresent() && view.get().unreleased().isEmpty();
        return Optional.of(new Authority(lease, tenure.fencing(), tenure.end(), settled));
    }

    /** Runs one step and schedules the next one. */
    private void run() {
        if (isStopped()) {
            return;
        }
        try {
            step();
        } finally {
            timing.scheduler().runAt(timing.inMillis(STEP_MILLIS), this::run);
        }
    }

    /** Returns whether the keeper was stopped. */
    private synchronized boolean isStopped() {
        return stopped;
    }

    /** Appends the record that is due, if any. */
    private void step() {
        Optional<LeaseAction> action = decide();
        if (action.isEmpty()) {
            return;
        }
        Deadline deadline = timing.inMillis(terms.retryMillis());
        // The verdict is not needed: what the fold has read settles the append, also when its answer is lost.
        appender.submit(action.get().body(), action.get().follows(), deadline);
    }

    /** Returns the record that is due and remembers that its sending begins now. */
    private synchronized Optional<LeaseAction> decide() {
        long nowNanos = timing.ticker().nanos();
        Optional<LeaseState> view = observe(nowNanos);
        int rank = LeasePreference.rank(
                lease, instance, surroundings.liveInstances().get());
        boolean quiet = surroundings.quiet().getAsBoolean();
        Circumstances now = new Circumstances(nowNanos, rank, leaving, quiet, surroundings.instanceGone());
        Optional<LeaseAction> action = steps.next(memory, view, now);
        action.ifPresent(due -> memory = memory.started(due, terms, nowNanos));
        return action;
    }

    /** Takes into account what the fold has read and returns it. */
    private Optional<LeaseState> observe(long nowNanos) {
        Optional<LeaseState> view = surroundings.view().get();
        memory = steps.observe(memory, view, nowNanos);
        return view;
    }
}
