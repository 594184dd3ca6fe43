package org.verbenatray.authority;

/**
 * The beginning of an append to the log of a lease, from which its effect counts however late its answer is.
 *
 * @param nanos the time on the monotonic clock
 * @param wallMillis the time on the wall clock
 * @param epochs the number of epochs of the log that the process had seen begin
 * @param token the fencing token under which it was sent, -1 for a claim
 */
record LeaseAppend(long nanos, long wallMillis, int epochs, long token) {}
