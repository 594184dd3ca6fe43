package org.verbenatray.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.verbenatray.catalog.ServiceScaling;

/**
 * Plans the servers of a service: as many as the load needs, at the least price, so that callers are still served when
 * all reclaimable servers of one failure domain are taken away at once.
 *
 * <p>Reclaimable servers carry the load, spread evenly over the domains. A few permanent ones in each domain serve what
 * must be served while reclaimable ones are not to be had. Permanent servers are given up only as reclaimable ones take
 * over, and are not ordered for a domain whose reclaimable servers were just taken away: they would serve only shortly
 * before those are back. They are ordered where too few servers are left altogether.
 */
public final class CapacityPlanner {
    /** The part of the needed servers that is permanent. */
    private static final double PERMANENT_SHARE = 0.1;

    /** The part of the needed servers below which permanent ones make up for those that are missing. */
    private static final double CRITICAL_SHARE = 0.6;

    /** The part of the needed servers below which permanent ones that make up for others are kept. */
    private static final double RECOVERED_SHARE = 0.85;

    private CapacityPlanner() {}

    /**
     * Returns the planned servers in each domain.
     *
     * @param scaling the bounds and prices
     * @param domains the servers that accept requests in each domain where the service may run
     * @param needed the number of servers that the load needs in all domains together
     */
    public static List<DomainPlan> plan(ServiceScaling scaling, List<DomainServers> domains, int needed) {
        int perDomain = clamp(ceilDiv(needed, Math.max(1, domains.size())), Math.max(1, scaling.min()), scaling.max());
        int reserve = Math.min(perDomain, Math.max(1, (int) Math.ceil(PERMANENT_SHARE * perDomain)));
        List<DomainPlan> plans = new ArrayList<>();
        for (DomainServers domain : domains) {
            int stillNeeded = Math.min(domain.permanent(), perDomain - domain.reclaimable());
            int permanent = Math.max(reserve, stillNeeded);
            int reclaimable = Math.min(perDomain, scaling.max() - permanent);
            plans.add(new DomainPlan(domain.domain(), permanent, Math.max(0, reclaimable)));
        }
        int present = domains.stream().mapToInt(DomainServers::total).sum();
        if (present < RECOVERED_SHARE * needed) {
            plans = keepingPermanent(plans, domains, scaling.max());
        }
        int missing = (int) Math.ceil(CRITICAL_SHARE * needed) - present;
        return missing <= 0 ? plans : withPermanent(plans, domains, missing, scaling.max());
    }

    /** Returns the plans without giving up permanent servers. */
    private static List<DomainPlan> keepingPermanent(List<DomainPlan> plans, List<DomainServers> domains, int max) {
        List<DomainPlan> result = new ArrayList<>();
        for (int index = 0; index < plans.size(); index++) {
            DomainPlan plan = plans.get(index);
            int kept = Math.max(plan.permanent(), domains.get(index).permanent());
            result.add(new DomainPlan(plan.domain(), kept, Math.min(plan.reclaimable(), max - kept)));
        }
        return result;
    }

    /** Adds missing permanent servers to the plans, in the cheapest domains first, and no more than these may have. */
    private static List<DomainPlan> withPermanent(
            List<DomainPlan> plans, List<DomainServers> domains, int missing, int max) {
        List<DomainPlan> result = new ArrayList<>(plans);
        int left = missing;
        for (DomainServers domain : domains.stream()
                .sorted(Comparator.comparingDouble(DomainServers::price))
                .toList()) {
            int index = domains.indexOf(domain);
            DomainPlan plan = result.get(index);
            int reclaimable = domain.reclaimableOffered() ? plan.reclaimable() : domain.reclaimable();
            int added = Math.max(0, Math.min(left, max - reclaimable - plan.permanent()));
            result.set(index, new DomainPlan(plan.domain(), plan.permanent() + added, reclaimable));
            left -= added;
        }
        return result;
    }

    private static int ceilDiv(int dividend, int divisor) {
        return (dividend + divisor - 1) / divisor;
    }

    private static int clamp(int value, int min, int max) {
        return Math.max(min, Math.min(max, value));
    }

    /**
     * The planned servers of a domain.
     *
     * @param domain the failure domain
     * @param permanent the number of servers that are not reclaimable
     * @param reclaimable the number of servers that may be reclaimed
     */
    public record DomainPlan(String domain, int permanent, int reclaimable) {}
}
