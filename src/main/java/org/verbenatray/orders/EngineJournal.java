package org.verbenatray.orders;

import java.util.Optional;

/**
 * What the log says about the orders of one engine.
 *
 * @param lastOffset the offset of the last accepted intent or outcome, which the next intent has to follow
 * @param outstanding the order that is not settled
 */
public record EngineJournal(long lastOffset, Optional<OutstandingOrder> outstanding) {}
