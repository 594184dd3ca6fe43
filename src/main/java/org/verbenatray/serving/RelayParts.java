package org.verbenatray.serving;

import java.util.function.BooleanSupplier;
import org.verbenatray.servers.EngineClient;
import org.verbenatray.telemetry.Metrics;
import org.verbenatray.time.Ticker;

/**
 * What every relay of an instance works with.
 *
 * @param guard chooses engines and keeps requests that crash them apart
 * @param engines talks to engines
 * @param settings the bounds
 * @param timers runs actions later
 * @param ticker the clock
 * @param retryAllowed whether another run may be paid for
 * @param metrics counts what happens
 */
public record RelayParts(
        SuspectGuard guard,
        EngineClient engines,
        RelaySettings settings,
        RelayTimers timers,
        Ticker ticker,
        BooleanSupplier retryAllowed,
        Metrics metrics) {}
