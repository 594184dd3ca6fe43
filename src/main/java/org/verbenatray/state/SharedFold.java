package org.verbenatray.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.verbenatray.log.LogRecord;
import org.verbenatray.log.RecordBody.Snapshot;
import org.verbenatray.log.RecordFold;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.log.Verdict;
import org.verbenatray.log.Verdict.Kind;
import org.verbenatray.log.Verdict.Rejection;

/**
 * The replicated state machine: every instance applies the records of the log in order and so reaches the same state.
 * The state consists of parts, each a {@link RecordFold} that accepts or rejects the records of its kind.
 *
 * <p>Thread-safe. One lock guards all parts; read them through {@link #read(Supplier)} only.
 */
public final class SharedFold {
    /** The number of offsets within which a second record with the same id is rejected as a duplicate. */
    public static final long DUPLICATE_WINDOW_OFFSETS = 16_384;

    /** The longest accepted record id, in characters. */
    public static final int MAX_ID_CHARS = 64;

    /** The name of {@link #recent} in snapshots. */
    private static final String RECENT_RECORDS = "recent-records";

    /** All parts, including {@link #snapshots}. */
    private final List<RecordFold> parts;

    private final SnapshotFold snapshots = new SnapshotFold();
    private final RecentRecords recent = new RecentRecords(DUPLICATE_WINDOW_OFFSETS);

    /** The offset of the next record to apply. */
    private long position;

    private SharedFold(List<RecordFold> parts) {
        this.parts = new ArrayList<>(parts);
        this.parts.add(snapshots);
    }

    /**
     * Returns an empty state with the given parts. Their names must be distinct, and at most one part may handle each
     * kind of record.
     */
    public static SharedFold of(List<RecordFold> parts) {
        return new SharedFold(parts);
    }

    /** Returns the offset of the next record to apply. */
    public synchronized long position() {
        return position;
    }

    /** Returns the result of the supplier, which reads a consistent state under the lock and so must be short. */
    public synchronized <T> T read(Supplier<T> reader) {
        return reader.get();
    }

    /** Returns the verdict on a recent record; empty if it is unknown or was skipped by restoring a snapshot. */
    public synchronized Optional<Verdict> verdict(String recordId) {
        return recent.verdict(recordId);
    }

    /** Returns the location of the newest accepted snapshot in the log. */
    public synchronized Optional<NewestSnapshot> newestSnapshot() {
        return snapshots.newest();
    }

    /** Applies the next record; throws an {@link OffsetOrderException} if its offset is not {@link #position()}. */
    public synchronized AppliedRecord apply(StoredRecord stored) {
        if (stored.offset() != position) {
            throw new OffsetOrderException(position, stored.offset());
        }
        position++;
        recent.evictOutsideWindow(stored.offset());
        return new AppliedRecord(stored, evaluate(stored));
    }

    /** Returns the verdict on one record and stores it, unless the record is a duplicate or has an invalid id. */
    private Verdict evaluate(StoredRecord stored) {
        String id = stored.record().id();
        if (id == null || id.isEmpty() || id.length() > MAX_ID_CHARS) {
            return reject(stored, Kind.INVALID, "the record id is empty or too long; use a UUID");
        }
        if (recent.contains(id)) {
            return reject(stored, Kind.DUPLICATE, "the record id was used before; the first verdict applies");
        }
        Verdict verdict = evaluateNew(stored);
        recent.add(id, verdict);
        return verdict;
    }

    /** Returns the verdict on a record that is no duplicate. */
    private Verdict evaluateNew(StoredRecord stored) {
        LogRecord record = stored.record();
        if (record.format() != LogRecord.CURRENT_FORMAT) {
            return reject(stored, Kind.UNKNOWN_FORMAT, "format " + record.format() + " is unknown; upgrade first");
        }
        for (RecordFold part : parts) {
            if (part.handles(record.body())) {
                return applyPart(part, stored);
            }
        }
        return reject(stored, Kind.INVALID, "no part of the state handles this kind of record; upgrade first");
    }

    /** Applies a record to a part; an exception becomes a rejection, because it occurs on every instance alike. */
    private static Verdict applyPart(RecordFold part, StoredRecord stored) {
        try {
            return part.apply(stored);
        } catch (RuntimeException e) {
            String detail =
                    "part " + part.name() + " failed with " + e.getClass().getSimpleName();
            return reject(stored, Kind.INVALID, detail + "; correct the record's content");
        }
    }

    private static Verdict reject(StoredRecord stored, Kind kind, String detail) {
        return Verdict.rejected(stored.offset(), Rejection.create(kind, detail));
    }

    /** Returns a snapshot of the whole state. */
    public synchronized Snapshot snapshot() {
        Map<String, String> packed = new TreeMap<>();
        exportParts().forEach((name, state) -> packed.put(name, PartCodec.pack(state)));
        return new Snapshot(position, SnapshotHash.of(packed), packed);
    }

    /** Returns the hash of the whole state; equal states have equal hashes. */
    public synchronized String hash() {
        return SnapshotHash.of(exportParts());
    }

    private Map<String, String> exportParts() {
        Map<String, String> states = new TreeMap<>();
        parts.forEach(part -> states.put(part.name(), part.exportState()));
        states.put(RECENT_RECORDS, recent.exportState());
        return states;
    }

    /** Returns whether the hash of a snapshot is right and the snapshot contains every part of this state. */
    public boolean canRestore(Snapshot snapshot) {
        boolean complete = snapshot.parts().containsKey(RECENT_RECORDS)
                && parts.stream().allMatch(part -> snapshot.parts().containsKey(part.name()));
        return complete && SnapshotHash.of(snapshot.parts()).equals(snapshot.hash());
    }

    /**
     * Replaces the state by a snapshot that is ahead of it. Returns false and changes nothing if the snapshot is not
     * ahead.
     *
     * @throws SnapshotInvalidException if the hash is wrong, or a part is missing or unreadable; the state is unchanged
     */
    public synchronized boolean restore(Snapshot snapshot) {
        if (snapshot.upTo() <= position) {
            return false;
        }
        if (!canRestore(snapshot)) {
            throw new SnapshotInvalidException("its hash is wrong or a part is missing; take another snapshot", null);
        }
        Map<String, String> before = exportParts();
        try {
            Map<String, String> states = new TreeMap<>();
            snapshot.parts().forEach((name, packed) -> states.put(name, PartCodec.unpack(packed)));
            importParts(states);
        } catch (RuntimeException e) {
            importParts(before);
            throw new SnapshotInvalidException("a part cannot be read; take a snapshot of the same version", e);
        }
        position = snapshot.upTo();
        return true;
    }

    private void importParts(Map<String, String> states) {
        parts.forEach(part -> part.importState(states.get(part.name())));
        recent.importState(states.get(RECENT_RECORDS));
    }
}
