package org.verbenatray.orders;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.verbenatray.authority.Authority;
import org.verbenatray.log.Appender;
import org.verbenatray.time.Timing;

/**
 * The services that the execution of orders needs from the rest of the instance.
 *
 * @param appender appends records to the log on behalf of this instance
 * @param engines sends orders to engines and reads their state
 * @param authority returns the authority at a monotonic time in nanoseconds, see
 *     {@link org.verbenatray.authority.LeaseManager#authority}
 * @param journal returns the order journal of an engine from this instance's copy of the log state, which may lag
 * @param timing the clocks and the scheduler; all steps run on the scheduler's threads
 * @param bounds the timeouts and limits for an order
 */
public record OrderDependencies(
        Appender appender,
        EngineOrderClient engines,
        LongFunction<Optional<Authority>> authority,
        Function<String, Optional<EngineJournal>> journal,
        Timing timing,
        OrderBounds bounds) {}
