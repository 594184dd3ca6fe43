package org.verbenatray.log;

import java.util.List;

/**
 * One page of the log.
 *
 * @param firstRetained the oldest offset that the log service still retains
 * @param next the offset after the last record of the log
 * @param records the records in the order of their offsets
 */
public record LogPage(long firstRetained, long next, List<StoredRecord> records) {}
