package org.verbenatray.relay;

import java.util.Locale;

/** How a request that was read whole has ended. */
public enum RequestEnd {
    /** The caller was sent the whole response of a server. */
    ANSWERED,
    /** The caller was sent a whole response of this instance. */
    REFUSED,
    /** The caller closed its connection before the response was complete. */
    CALLER_LEFT,
    /** The response had begun when its server failed and no other could continue it. */
    CUT_BY_SERVER,
    /** The response had begun when its deadline passed. */
    CUT_AT_DEADLINE,
    /** This instance closed the connection for another reason. */
    CUT_BY_INSTANCE;

    /** Returns the name in log lines and metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
