package org.verbenatray.state;

import java.util.Optional;
import org.verbenatray.log.RecordBody;
import org.verbenatray.log.RecordBody.Snapshot;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.log.RecordFold;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.log.Verdict;
import org.verbenatray.log.Verdict.Kind;
import org.verbenatray.log.Verdict.Rejection;

/** The part of the state that validates snapshot records and tracks the newest one in the log. */
final class SnapshotFold implements RecordFold {
    private Optional<NewestSnapshot> newest = Optional.empty();

    @Override
    public String name() {
        return "snapshots";
    }

    @Override
    public boolean handles(RecordBody body) {
        return body instanceof Snapshot;
    }

    @Override
    public Verdict apply(StoredRecord stored) {
        long offset = stored.offset();
        Snapshot snapshot = (Snapshot) stored.record().body();
        if (snapshot.upTo() > offset || !SnapshotHash.of(snapshot.parts()).equals(snapshot.hash())) {
            String detail = "the snapshot's hash or range is wrong; append a snapshot from another instance";
            return Verdict.rejected(offset, Rejection.create(Kind.INVALID, detail));
        }
        if (newest.isPresent() && snapshot.upTo() <= newest.get().upTo()) {
            String detail = "the log holds a snapshot that is as new or newer; no action is needed";
            return Verdict.rejected(offset, Rejection.create(Kind.STALE, detail));
        }
        newest = Optional.of(
                new NewestSnapshot(offset, snapshot.upTo(), stored.record().atMillis()));
        return Verdict.accepted(offset);
    }

    @Override
    public String exportState() {
        return RecordCodec.encode(new State(newest));
    }

    @Override
    public void importState(String exported) {
        newest = RecordCodec.decode(exported, State.class).newest();
    }

    /** Returns the location of the newest accepted snapshot. */
    Optional<NewestSnapshot> newest() {
        return newest;
    }

    /**
     * The exported form.
     *
     * @param newest the location of the newest accepted snapshot
     */
    private record State(Optional<NewestSnapshot> newest) {}
}
