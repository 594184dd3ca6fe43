package org.verbenatray.serving;

import java.util.function.BooleanSupplier;
import org.verbenatray.servers.EngineClient;
import org.verbenatray.telemetry.Metrics;
import org.verbenatray.time.Ticker;

/**
 * The dependencies shared by all {@link StreamRelay}s of an instance.
 *
 * @param guard chooses engines and isolates requests that crash them
 * @param engineClient sends requests to engines
 * @param settings the timeouts and limits
 * @param timers schedules actions on I/O threads
 * @param ticker the monotonic clock
 * @param tryAcquireRetry takes one retry from the retry throttle; returns false when it allows none
 * @param metrics receives counts and times
 */
public record StreamRelayContext(
        SuspectGuard guard,
        EngineClient engineClient,
        StreamRelaySettings settings,
        StreamRelayTimers timers,
        Ticker ticker,
        BooleanSupplier tryAcquireRetry,
        Metrics metrics) {}
