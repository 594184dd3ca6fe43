package org.verbenatray.servers;

import java.util.Locale;

/** What a call to a server or to the platform is for. */
public enum CallPurpose {
    /** Forwards the request of a caller. */
    REQUEST,
    /** Polls the load or the prefix cache of an engine. */
    POLL,
    /** Checks a server that has fallen silent. */
    CHECK,
    /** Any other call. */
    OTHER;

    /** Returns the name in log lines and metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
