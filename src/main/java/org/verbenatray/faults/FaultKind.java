package org.verbenatray.faults;

/** The kinds of faults and planned changes that a plan can contain. */
public enum FaultKind {
    /** An engine crashes and restarts. */
    ENGINE_CRASH(false),
    /** An engine leaves and a new one replaces it in the configuration. */
    ENGINE_REPLACED(true),
    /** An engine stops sending on its open responses without closing the connections. */
    SILENT_REPLIES(false),
    /**
     * An engine drops and repeats response lines, sends lines with the id of another dispatch and closes connections.
     */
    DAMAGED_LINES(false),
    /** A plain service delays its responses. */
    SLOW_SERVICE(false),
    /** A plain service drops responses after the calls have run. */
    LOST_SERVICE_ANSWERS(false),
    /** The log and the instance list are unavailable. */
    PLATFORM_OUTAGE(false),
    /** The responses to appends are lost after the records were stored. */
    LOST_APPEND_ANSWERS(false),
    /** Appends fail but their records are stored later. */
    LATE_APPENDS(false),
    /** An engine reports outdated load. */
    LAGGING_LOAD(false),
    /** An entry instance stops without draining and another one starts. */
    INSTANCE_KILLED(false),
    /** An entry instance is drained and another one starts. */
    INSTANCE_REPLACED(true),
    /** A new version of a model is published. */
    VERSION_CHANGE(true),
    /** Two operators edit the same file concurrently. */
    RACING_EDITS(true),
    /** A client sends a request that crashes engines, through one instance after the other. */
    POISON(false),
    /** One entry instance cannot reach the platform. */
    INSTANCE_CUT(false),
    /** The fraction of long reviews in the load changes, which makes the planner change engine roles. */
    MIX_SHIFT(true);

    /** Whether it occurs in normal operation, caused by operators or by the load. */
    private final boolean planned;

    FaultKind(boolean planned) {
        this.planned = planned;
    }

    /** Returns whether it is a planned change or a change of the load. Neither may interrupt a request. */
    public boolean isPlanned() {
        return planned;
    }
}
