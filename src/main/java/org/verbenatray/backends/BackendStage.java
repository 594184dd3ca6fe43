package org.verbenatray.backends;

/** The stage of request processing that a backend server serves. */
public enum BackendStage {
    /** A server of a plain service. */
    PLAIN,
    /** An engine that prefills prompts and hands them over to decode engines. */
    PREFILL,
    /** An engine that generates tokens; it can also prefill prompts, but more slowly. */
    DECODE
}
