package org.verbenatray.state;

import org.verbenatray.log.StoredRecord;
import org.verbenatray.log.Verdict;

/**
 * A record of the log with the verdict of the {@link SharedFold}.
 *
 * @param stored the record with its offset
 * @param verdict the acceptance or rejection of the record
 */
public record AppliedRecord(StoredRecord stored, Verdict verdict) {}
