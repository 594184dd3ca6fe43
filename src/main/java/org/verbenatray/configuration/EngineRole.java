package org.verbenatray.configuration;

/** The work that an engine takes. */
public enum EngineRole {
    /** Processes prompts and exports their KV cache. */
    PREFILL,
    /** Imports KV cache and generates tokens. */
    DECODE,
    /** Does both. */
    BOTH;

    /** Returns whether an engine in this role processes prompts. */
    public boolean prefills() {
        return this != DECODE;
    }

    /** Returns whether an engine in this role generates tokens. */
    public boolean decodes() {
        return this != PREFILL;
    }
}
