package org.verbenatray.backends;

import java.util.Optional;

/**
 * What one poll of an engine has brought.
 *
 * @param boot the boot id of the engine
 * @param agoMillis how long ago the poll ended, in milliseconds
 * @param answered whether the engine answered; if not, the instance that polled could not reach it
 * @param load the reported load, if the poll asked for it
 * @param changes the changes of the prefix cache, if the poll asked for them
 */
public record EngineReport(
        String boot, long agoMillis, boolean answered, Optional<BackendLoad> load, Optional<CacheChanges> changes) {
    /** Returns the report of a poll for the load that ended now. */
    public static EngineReport ofLoad(String boot, BackendLoad load) {
        return new EngineReport(boot, 0, true, Optional.of(load), Optional.empty());
    }

    /** Returns the report of a poll for cache changes that ended now. */
    public static EngineReport ofChanges(String boot, CacheChanges changes) {
        return new EngineReport(boot, 0, true, Optional.empty(), Optional.of(changes));
    }

    /** Returns the report of a poll that was not answered. */
    public static EngineReport unanswered(String boot) {
        return new EngineReport(boot, 0, false, Optional.empty(), Optional.empty());
    }
}
