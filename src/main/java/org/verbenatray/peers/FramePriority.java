package org.verbenatray.peers;

/** Priorities of queued frames. Frames are sent in the order of these constants. */
enum FramePriority {
    /** Notices that an instance is leaving. */
    LEAVING(Budget.NONE, 1_024),
    /** Reports on requests that crashed so many backend servers that they are blocked. */
    BLOCKED(Budget.NONE, 1_024),
    /** Reports on requests that crashed a backend server and may do so again. */
    SUSPECT(Budget.CONTROL_WITH_DEBT, 1_024),
    /** Heartbeats and state requests. */
    HEARTBEAT(Budget.NONE, 4),
    /** Relayed log records. */
    RECORDS(Budget.BULK, 256),
    /** Load deltas and digests of failure domains. */
    LOAD(Budget.CONTROL, 1_024),
    /** Snapshot chunks. */
    STATE(Budget.BULK, 256);

    private final Budget budget;

    private final int maxWaiting;

    FramePriority(Budget budget, int maxWaiting) {
        this.budget = budget;
        this.maxWaiting = maxWaiting;
    }

    /** Returns the byte budget that frames of this priority are sent under. */
    Budget budget() {
        return budget;
    }

    /** Returns the largest number of queued frames of this priority. */
    int maxWaiting() {
        return maxWaiting;
    }

    /** Byte budgets of a link and how a frame uses them. */
    enum Budget {
        /** Not limited, but the bytes are charged to the control budget. */
        NONE,
        /** Sent while the control budget is positive. */
        CONTROL,
        /** Sent while the debt of the control budget is below {@link Outbox#MAX_SUSPECT_DEBT_BYTES}. */
        CONTROL_WITH_DEBT,
        /** Sent while the bulk budget is positive. */
        BULK
    }
}
