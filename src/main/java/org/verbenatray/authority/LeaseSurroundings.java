package org.verbenatray.authority;

import java.util.Collection;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * What a lease keeper asks of the rest of the instance.
 *
 * @param view the lease as the fold of this instance has it; called with the keeper's lock held
 * @param liveInstances the live instances of the failure domain, for the order of preference
 * @param instanceGone whether the platform's instance list listed an instance earlier and shows it as ended now
 * @param quiet whether no order of this instance can still reach an engine
 */
public record LeaseSurroundings(
        Supplier<Optional<LeaseState>> view,
        Supplier<? extends Collection<String>> liveInstances,
        Predicate<String> instanceGone,
        BooleanSupplier quiet) {}
