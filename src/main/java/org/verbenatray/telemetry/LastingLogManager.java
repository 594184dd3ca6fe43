package org.verbenatray.telemetry;

import java.util.logging.LogManager;

/** A log manager that still writes while the process shuts down. */
public final class LastingLogManager extends LogManager {
    /** The system property that names the log manager; it must be set before the first logger is made. */
    public static final String PROPERTY = "java.util.logging.manager";

    /** Creates the manager; called by the platform's logging. */
    public LastingLogManager() {}

    @Override
    public void reset() {
        // The default would close all handlers at the start of the shutdown.
    }
}
