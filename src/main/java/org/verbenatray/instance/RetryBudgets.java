package org.verbenatray.instance;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.verbenatray.openwork.FleetShare;
import org.verbenatray.resilience.RetryBudget;
import org.verbenatray.time.Ticker;

/** The retry budgets of one instance by service, created on first use. Used on one thread. */
final class RetryBudgets {
    private final Supplier<RelayInstanceSettings> settings;

    private final FleetShare fleetShare;

    private final Ticker ticker;

    private final Map<String, RetryBudget> byService = new HashMap<>();

    RetryBudgets(Supplier<RelayInstanceSettings> settings, FleetShare fleetShare, Ticker ticker) {
        this.settings = settings;
        this.fleetShare = fleetShare;
        this.ticker = ticker;
    }

    /** Returns the budget of a service. */
    RetryBudget of(String service) {
        return byService.computeIfAbsent(service, name -> create());
    }

    /** Applies the settings in force to all budgets. */
    void configure() {
        RelayInstanceSettings now = settings.get();
        byService.values().forEach(budget -> budget.configure(now.instanceRetryRatio(), now.retryWindowMillis()));
    }

    private RetryBudget create() {
        RelayInstanceSettings now = settings.get();
        return RetryBudget.create(
                ticker,
                now.instanceRetryRatio(),
                now.retryWindowMillis(),
                () -> settings.get().retryExtra() * fleetShare.of(settings.get().retryWindowMillis()));
    }
}
