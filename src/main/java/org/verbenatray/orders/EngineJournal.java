package org.verbenatray.orders;

import java.util.Optional;

/**
 * The state of one engine's orders according to the log.
 *
 * @param lastOffset the log offset of the last accepted intent or outcome; the next intent is conditional on it
 * @param outstanding the accepted order without a journalled outcome, empty if there is none
 */
public record EngineJournal(long lastOffset, Optional<OutstandingOrder> outstanding) {}
