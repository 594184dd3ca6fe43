package org.verbenatray.duties;

import java.util.concurrent.CompletableFuture;

/** The platform's API for duties. Its calls never fail; what is not known is an outcome. */
public interface PlatformApi {
    /** Reports the usage of a window. Repeating a report is harmless; another report for the window is not. */
    CompletableFuture<DutyOutcome> reportUsage(DutyHolder holder, UsageReport report);

    /** Orders a number of servers. */
    CompletableFuture<DutyOutcome> orderServers(DutyHolder holder, ServerOrder order);
}
