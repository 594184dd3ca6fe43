package org.verbenatray.relay;

import java.util.Locale;

/** Why an instance polls an engine. */
enum PollCause {
    /** It is the first in the order of the engine. */
    TURN,
    /** An instance before it in the order has told no report. */
    LATE_TURN,
    /** No report of the engine is known yet. */
    LISTED,
    /** The engine answers others, and did not answer this instance, which may reach no server. */
    UNREACHABLE,
    /** The engine did not answer another instance. */
    TOLD,
    /** It is doubtful whether this instance reaches any server. */
    DOUBT;

    /** Returns the name in log lines and metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
