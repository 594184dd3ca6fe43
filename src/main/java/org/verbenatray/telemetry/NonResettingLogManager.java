package org.verbenatray.telemetry;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers while the process shuts down, so that shutdown hooks can log. The JDK's default
 * manager closes all handlers at the start of the shutdown.
 */
public final class NonResettingLogManager extends LogManager {
    /**
     * The system property with the class name of the log manager; it must be set before the first logger is created.
     */
    public static final String PROPERTY = "java.util.logging.manager";

    /** Creates the manager; called by java.util.logging. */
    public NonResettingLogManager() {}

    @Override
    public void reset() {
        // The JDK resets the manager at the start of the shutdown, which would close all handlers.
    }
}
