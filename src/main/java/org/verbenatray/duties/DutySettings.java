package org.verbenatray.duties;

/**
 * The duties of the system.
 *
 * @param reportsUsage whether the usage of customers is reported
 * @param ordersServers whether servers are ordered
 * @param usageWindowMillis the length of a window of usage, in milliseconds
 * @param usageDueMillis the time after the end of a window at which its report is due, in milliseconds
 */
public record DutySettings(boolean reportsUsage, boolean ordersServers, long usageWindowMillis, long usageDueMillis) {
    /** The settings of a system without duties. */
    public static final DutySettings NONE = new DutySettings(false, false, 1, 1);

    /** Returns whether there is any duty. */
    public boolean any() {
        return reportsUsage || ordersServers;
    }
}
