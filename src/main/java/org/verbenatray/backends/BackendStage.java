package org.verbenatray.backends;

/** What a backend server does. */
public enum BackendStage {
    /** Answers requests of a plain service. */
    PLAIN,
    /** An engine that processes prompts for others. */
    PREFILL,
    /** An engine that generates tokens, and processes prompts more slowly. */
    DECODE
}
