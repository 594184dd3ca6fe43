package org.verbenatray.log;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Optional;
import java.util.UUID;

/**
 * A record as its author appends it.
 *
 * @param id the random id that identifies duplicates, and a record whose append got no response
 * @param author the instance or operator that wrote the record
 * @param format the format version, whose rules the folds apply to the record
 * @param atMillis the author's wall clock in milliseconds since the epoch; informative unless the body says otherwise
 * @param follows the offset of the state that the author based its change on, for compare-and-set
 * @param body the content of the record
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
