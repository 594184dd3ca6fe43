package org.verbenatray.instance;

import java.util.List;
import java.util.function.Supplier;
import org.verbenatray.authority.LeaseKeeper;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.orders.OrderExecutor;
import org.verbenatray.orders.OutstandingOrder;

/**
 * What orders of one failure domain are given through.
 *
 * @param keeper keeps the lease
 * @param executor carries orders out
 * @param outstanding returns the orders of the lease that are not settled
 * @param configuration the configuration in force
 */
record OrderParts(
        LeaseKeeper keeper,
        OrderExecutor executor,
        Supplier<List<OutstandingOrder>> outstanding,
        Supplier<ActiveConfiguration> configuration) {}
