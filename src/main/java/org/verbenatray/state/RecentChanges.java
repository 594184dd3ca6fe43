package org.verbenatray.state;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.verbenatray.log.KeyedLog;

/** The changes of the last reads of a log, sent together so that one lost notice leaves no gap. */
final class RecentChanges {
    /** The number of reads whose changes are sent again. */
    private static final int MAX_READS = 4;

    private final Deque<Read> reads = new ArrayDeque<>();

    /** Adds the changes of a read that began at an offset. */
    void add(long from, List<KeyedLog.Entry> changes) {
        reads.addLast(new Read(from, changes));
        if (reads.size() > MAX_READS) {
            reads.removeFirst();
        }
    }

    /** Forgets all reads, as the next one does not follow them. */
    void clear() {
        reads.clear();
    }

    /** Returns the offset at which the first of the reads began. */
    long from() {
        return reads.getFirst().from();
    }

    /** Returns the changes of all reads, oldest first. */
    List<KeyedLog.Entry> entries() {
        return reads.stream().flatMap(read -> read.changes().stream()).toList();
    }

    /** The changes of one read, which began at an offset. */
    private record Read(long from, List<KeyedLog.Entry> changes) {}
}
