package org.verbenatray.authority;

import java.util.Optional;
import org.verbenatray.log.RecordBody;

/**
 * A record about a lease that is due to be appended to the log.
 *
 * @param body the record's body
 * @param follows the offset of the lease's last record, on which the append is conditional; empty if it
 *     is not
 * @param changesTenure true for a claim, renewal or release of the current tenure; false for a record about a former
 *     holder
 */
record LeaseAction(RecordBody body, Optional<Long> follows, boolean changesTenure) {}
