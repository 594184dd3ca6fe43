package org.verbenatray.log;

/**
 * One part of the state that is folded from the log: a deterministic function of the records in order.
 *
 * <p>Folds are used by one thread at a time; the owner provides the lock.
 */
public interface RecordFold {
    /** Returns the name under which snapshots carry this part. */
    String name();

    /** Returns whether this part judges records with the given body. */
    boolean judges(RecordBody body);

    /** Judges one record and takes it into the state when it is accepted. */
    Verdict apply(StoredRecord stored);

    /** Returns the state as JSON; equal states give equal text. */
    String exportState();

    /** Replaces the state by an exported one. */
    void importState(String exported);
}
