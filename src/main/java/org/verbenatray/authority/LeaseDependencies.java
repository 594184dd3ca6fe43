package org.verbenatray.authority;

import java.util.Collection;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Functions of the rest of the instance that a {@link LeaseManager} calls.
 *
 * @param leaseState returns the lease state in the fold of this instance; called with the manager's lock held
 * @param liveInstances returns the live instances of the failure domain, for the order of preference
 * @param instanceTerminated returns whether the platform's instance list contained an instance earlier and now shows it
 *     as terminated
 * @param noOrdersInFlight returns whether no order of this instance can reach an engine any more
 */
public record LeaseDependencies(
        Supplier<Optional<LeaseState>> leaseState,
        Supplier<? extends Collection<String>> liveInstances,
        Predicate<String> instanceTerminated,
        BooleanSupplier noOrdersInFlight) {}
