package org.verbenatray.fleet;

/** The availability of an engine for new requests. */
public enum EngineCondition {
    /** Accepts new requests. */
    READY,
    /** Is about to stop; finishes its requests but accepts no new ones. */
    LEAVING,
    /** Is changing its role or loading a model. */
    CHANGING,
    /** Failed repeatedly, or is no longer in the instance list and sends no reports. */
    UNREACHABLE
}
