package org.verbenatray.configuration;

/** The phases of inference that an engine runs. */
public enum EngineRole {
    /** Processes prompts and exports their KV cache. */
    PREFILL,
    /** Imports the KV cache of a prompt and generates tokens. */
    DECODE,
    /** Runs both phases. */
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
