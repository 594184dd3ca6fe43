package org.verbenatray.state;

import org.verbenatray.log.StoredRecord;
import org.verbenatray.log.Verdict;

/**
 * A record with the verdict of the fold.
 *
 * @param stored the record with its offset
 * @param verdict the verdict
 */
public record AppliedRecord(StoredRecord stored, Verdict verdict) {}
