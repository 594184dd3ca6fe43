package org.verbenatray.instance;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.verbenatray.authority.LeaseKeeper;
import org.verbenatray.authority.LeaseSurroundings;
import org.verbenatray.authority.LeaseTerms;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.orders.EngineOrders;
import org.verbenatray.orders.OrderBounds;
import org.verbenatray.orders.OrderExecutor;
import org.verbenatray.orders.OrderPorts;
import org.verbenatray.orders.OutstandingOrder;
import org.verbenatray.servers.HttpEngineOrders;

/**
 * What orders of one failure domain are given through.
 *
 * @param keeper keeps the lease
 * @param executor carries orders out
 * @param engines the orders interface of the engines
 * @param outstanding returns the orders of the lease that are not settled
 * @param configuration the configuration in force
 */
record OrderParts(
        LeaseKeeper keeper,
        OrderExecutor executor,
        EngineOrders engines,
        Supplier<List<OutstandingOrder>> outstanding,
        Supplier<ActiveConfiguration> configuration) {
    /** Returns the parts for the failure domain of an instance. */
    static OrderParts create(InstanceRuntime runtime, LogParts logParts, Membership membership) {
        String lease = runtime.settings().failureDomain();
        AtomicReference<OrderExecutor> executor = new AtomicReference<>();
        LeaseSurroundings surroundings = new LeaseSurroundings(
                () -> logParts.fold().read(() -> logParts.leases().lease(lease)),
                () -> membership.liveIn(lease),
                membership::isGone,
                () -> executor.get().isQuiet(runtime.nanos()));
        LeaseKeeper keeper = LeaseKeeper.create(
                lease,
                runtime.id(),
                terms(runtime.settings().leaseTermMillis()),
                surroundings,
                logParts.appender(),
                runtime.timing());
        Supplier<ActiveConfiguration> configuration = logParts.configuration()::active;
        EngineOrders engines = HttpEngineOrders.create(
                runtime.transport(),
                engine -> Optional.ofNullable(
                                configuration.get().fleet().engines().get(engine))
                        .map(EngineSpec::address));
        executor.set(OrderExecutor.create(new OrderPorts(
                logParts.appender(),
                engines,
                keeper::authority,
                engine -> logParts.fold().read(() -> logParts.orders().journal(engine)),
                runtime.timing(),
                OrderBounds.defaults())));
        return new OrderParts(
                keeper,
                executor.get(),
                engines,
                () -> logParts.fold().read(() -> logParts.orders().outstanding(lease)),
                configuration);
    }

    /** Returns the times of a lease with the given term in milliseconds. */
    private static LeaseTerms terms(long termMillis) {
        return new LeaseTerms(termMillis, termMillis / 10, termMillis / 4, termMillis / 10, termMillis / 6);
    }
}
