package org.verbenatray.peers;

/** The order in which waiting frames are sent. */
enum FramePriority {
    /** An instance is leaving. */
    LEAVING(Budget.NONE, 1_024),
    /** Requests that crashed so many backend servers that they must not run. */
    CONDEMNED(Budget.NONE, 1_024),
    /** Requests that crashed a backend server. */
    SUSPECT(Budget.CONTROL_WITH_DEBT, 1_024),
    /** Heartbeats and requests of state. */
    HEARTBEAT(Budget.NONE, 4),
    /** Relayed records of the log. */
    RECORDS(Budget.BULK, 256),
    /** Load and digests. */
    LOAD(Budget.CONTROL, 1_024),
    /** Chunks of a snapshot. */
    STATE(Budget.BULK, 256);

    /** The budget under which frames of this kind wait. */
    private final Budget budget;

    /** The largest number of waiting frames. */
    private final int maxWaiting;

    /** Creates a constant. */
    FramePriority(Budget budget, int maxWaiting) {
        this.budget = budget;
        this.maxWaiting = maxWaiting;
    }

    /** Returns the budget under which frames of this kind wait. */
    Budget budget() {
        return budget;
    }

    /** Returns the largest number of waiting frames. */
    int maxWaiting() {
        return maxWaiting;
    }

    /** The budgets of a link. */
    enum Budget {
        /** Never waits; the bytes are charged to the control budget. */
        NONE,
        /** Waits while the control budget is used up. */
        CONTROL,
        /** Waits while the control budget is in debt beyond a bound. */
        CONTROL_WITH_DEBT,
        /** Waits while the bulk budget is used up. */
        BULK
    }
}
