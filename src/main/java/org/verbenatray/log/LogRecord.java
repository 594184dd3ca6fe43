package org.verbenatray.log;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Optional;
import java.util.UUID;

/**
 * One record as its author appends it.
 *
 * @param id the random id by which duplicates are dropped and lost answers are settled
 * @param author the instance or operator that wrote the record
 * @param format the format version whose rules judge the record
 * @param atMillis the author's wall clock in milliseconds since the epoch, for people only unless a body says otherwise
 * @param follows the offset that the author knew of the thing it changes, for compare-and-set
 * @param body the fact that the record states
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public record LogRecord(String id, String author, int format, long atMillis, Optional<Long> follows, RecordBody body) {
    /** The newest format version that this software writes. */
    public static final int CURRENT_FORMAT = 1;

    /** Returns a record with a random id in the current format. */
    public static LogRecord create(String author, long atMillis, Optional<Long> follows, RecordBody body) {
        return new LogRecord(UUID.randomUUID().toString(), author, CURRENT_FORMAT, atMillis, follows, body);
    }
}
