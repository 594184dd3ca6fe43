package org.verbenatray.log;

/**
 * A record with its offset in the log.
 *
 * @param offset the offset that the log service assigned
 * @param record the record
 */
public record StoredRecord(long offset, LogRecord record) {}
