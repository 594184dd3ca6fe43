package org.verbenatray.fleet;

/** Whether an engine may be given work. */
public enum EngineCondition {
    /** Takes new work. */
    READY,
    /** Is leaving; finishes what it has. */
    LEAVING,
    /** Is changing its role or loading a model. */
    CHANGING,
    /** Did not answer recently. */
    UNREACHABLE
}
