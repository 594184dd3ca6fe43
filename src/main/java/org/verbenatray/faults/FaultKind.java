package org.verbenatray.faults;

/** The kinds of faults and changes that a plan draws. */
public enum FaultKind {
    /** An engine crashes and comes back. */
    ENGINE_CRASH(false),
    /** An engine leaves and a new one takes its place in the configuration. */
    ENGINE_REPLACED(true),
    /** The open replies of an engine go silent. */
    SILENT_REPLIES(false),
    /** Lines of an engine's replies are lost, doubled, crossed and cut. */
    DAMAGED_LINES(false),
    /** The plain service answers slowly. */
    SLOW_SERVICE(false),
    /** Answers of the plain service are lost after the calls ran. */
    LOST_SERVICE_ANSWERS(false),
    /** The log and the instance list are out of reach. */
    PLATFORM_OUTAGE(false),
    /** Answers to appends are lost after the records were stored. */
    LOST_APPEND_ANSWERS(false),
    /** Appends fail and their records are stored later. */
    LATE_APPENDS(false),
    /** An engine reports a load of the past. */
    LAGGING_LOAD(false),
    /** An entry instance stops without a drain and another one starts. */
    INSTANCE_KILLED(false),
    /** An entry instance is drained and another one starts. */
    INSTANCE_REPLACED(true),
    /** A new version of a model is published. */
    VERSION_CHANGE(true),
    /** Two operators edit the same file at once. */
    RACING_EDITS(true),
    /** A caller sends a request that crashes engines through one instance after the other. */
    POISON(false),
    /** One entry instance cannot reach the platform. */
    INSTANCE_CUT(false),
    /** The part of long reviews changes, which makes the planner change roles. */
    MIX_SHIFT(true);

    /** Whether operators or callers bring it about in normal use. */
    private final boolean planned;

    /** Creates a kind. */
    FaultKind(boolean planned) {
        this.planned = planned;
    }

    /** Returns whether it is a planned change or a change of the load, which must cut no request. */
    public boolean isPlanned() {
        return planned;
    }
}
