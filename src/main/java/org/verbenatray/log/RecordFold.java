package org.verbenatray.log;

/**
 * A state machine replicated through the log: its state is a deterministic function of the records in order.
 *
 * <p>Not thread-safe; the owner provides the lock.
 */
public interface RecordFold {
    /** Returns the name under which snapshots hold this state. */
    String name();

    /** Returns whether this fold handles records with the given body. */
    boolean handles(RecordBody body);

    /** Accepts or rejects a record, and updates the state when it is accepted. */
    Verdict apply(StoredRecord stored);

    /** Returns the state as JSON; equal states give equal text. */
    String exportState();

    /** Replaces the state with an exported one. */
    void importState(String exported);
}
