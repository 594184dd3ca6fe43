package org.verbenatray.instance;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.verbenatray.authority.LeaseDependencies;
import org.verbenatray.authority.LeaseManager;
import org.verbenatray.authority.LeaseTiming;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.orders.EngineOrderClient;
import org.verbenatray.orders.OrderBounds;
import org.verbenatray.orders.OrderDependencies;
import org.verbenatray.orders.OrderExecutor;
import org.verbenatray.orders.OutstandingOrder;
import org.verbenatray.servers.HttpEngineOrders;

/**
 * The components through which an instance sends orders to the engines of its failure domain.
 *
 * @param lease claims, renews and releases the lease that permits orders
 * @param executor journals, sends and settles orders
 * @param engines the client of the engines' order interface
 * @param outstanding the orders under this lease that are not settled yet
 * @param configuration the active configuration
 */
record OrderParts(
        LeaseManager lease,
        OrderExecutor executor,
        EngineOrderClient engines,
        Supplier<List<OutstandingOrder>> outstanding,
        Supplier<ActiveConfiguration> configuration) {
    /** Creates the components for the failure domain of an instance. */
    static OrderParts create(InstanceRuntime runtime, LogParts logParts, Membership membership) {
        String failureDomain = runtime.settings().failureDomain();
        AtomicReference<OrderExecutor> executor = new AtomicReference<>();
        LeaseDependencies dependencies = new LeaseDependencies(
                () -> logParts.fold().read(() -> logParts.leases().lease(failureDomain)),
                () -> membership.liveInstancesIn(failureDomain),
                membership::isRemovedFromList,
                () -> executor.get().hasNoInFlightOrders(runtime.nowNanos()));
        LeaseManager leaseManager = LeaseManager.create(
                failureDomain,
                runtime.id(),
                leaseTiming(runtime.settings().leaseTermMillis()),
                dependencies,
                logParts.appender(),
                runtime.timing());
        Supplier<ActiveConfiguration> configuration = logParts.configuration()::active;
        EngineOrderClient engines = HttpEngineOrders.create(
                runtime.transport(),
                engine -> Optional.ofNullable(
                                configuration.get().fleet().engines().get(engine))
                        .map(EngineSpec::address));
        executor.set(OrderExecutor.create(new OrderDependencies(
                logParts.appender(),
                engines,
                leaseManager::authority,
                engine -> logParts.fold().read(() -> logParts.orders().journal(engine)),
                runtime.timing(),
                OrderBounds.defaults())));
        return new OrderParts(
                leaseManager,
                executor.get(),
                engines,
                () -> logParts.fold().read(() -> logParts.orders().outstanding(failureDomain)),
                configuration);
    }

    /** Returns the times of a lease with the given term in milliseconds, all as fractions of the term. */
    private static LeaseTiming leaseTiming(long termMillis) {
        return new LeaseTiming(termMillis, termMillis / 10, termMillis / 4, termMillis / 10, termMillis / 6);
    }
}
