package org.verbenatray.capacity;

import java.util.List;
import java.util.Map;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.capacity.CapacityPlanner.DomainPlan;
import org.verbenatray.catalog.ServiceScaling;

/** Plans of servers before, during and after the reclaim of a domain's servers. */
public final class CapacityPlannerTest {
    private static final ServiceScaling SCALING =
            new ServiceScaling(1, 34, 4_000, 0.22, Map.of("a", 0.85, "b", 1.2, "c", 1.0));

    private static final int NEEDED = 48;

    @Test
    public void permanentServersAreKeptUntilReclaimableOnesServe() {
        List<DomainPlan> plans = CapacityPlanner.plan(SCALING, domains(16, 0, 16, 0, 16, 0), NEEDED);
        plans.forEach(plan -> {
            Assert.assertEquals(plan.permanent(), 16, plan.toString());
            Assert.assertEquals(plan.reclaimable(), 16, plan.toString());
        });
    }

    @Test
    public void permanentServersAreGivenUpAsReclaimableOnesTakeOver() {
        List<DomainPlan> plans = CapacityPlanner.plan(SCALING, domains(16, 10, 16, 16, 16, 0), NEEDED);
        Assert.assertEquals(plans.get(0).permanent(), 6);
        Assert.assertEquals(plans.get(1).permanent(), 2);
        Assert.assertEquals(plans.get(2).permanent(), 16);
    }

    @Test
    public void mostServersRemainWhenTheReclaimableOnesOfADomainAreTakenAway() {
        List<DomainPlan> plans = CapacityPlanner.plan(SCALING, domains(2, 16, 2, 16, 2, 16), NEEDED);
        for (DomainPlan lost : plans) {
            int left = plans.stream()
                            .mapToInt(plan -> plan.permanent() + plan.reclaimable())
                            .sum()
                    - lost.reclaimable();
            Assert.assertTrue(left >= 0.75 * NEEDED, "left without those of " + lost.domain() + ": " + left);
        }
    }

    @Test
    public void aReclaimIsNotAnsweredByPermanentServersWhileEnoughAreLeft() {
        List<DomainPlan> plans = CapacityPlanner.plan(SCALING, domains(2, 0, 2, 16, 2, 16), NEEDED);
        plans.forEach(plan -> Assert.assertEquals(plan.permanent(), 2, plan.toString()));
    }

    @Test
    public void permanentServersAreOrderedWhereTooFewServersAreLeft() {
        List<DomainServers> servers = List.of(
                new DomainServers("a", 0.85, 2, 0, false),
                new DomainServers("b", 1.2, 2, 0, false),
                new DomainServers("c", 1.0, 2, 4, true));
        List<DomainPlan> plans = CapacityPlanner.plan(SCALING, servers, NEEDED);
        int planned = plans.stream().mapToInt(DomainPlan::permanent).sum();
        Assert.assertTrue(planned + 4 >= 0.6 * NEEDED, "permanent servers: " + planned);
        Assert.assertTrue(plans.get(0).permanent() > plans.get(1).permanent(), "the cheapest domain comes first");
    }

    /** Servers that were ordered because too few were left were given up as soon as they served, and ordered again. */
    @Test
    public void permanentServersThatMakeUpForOthersAreKeptUntilThoseAreBack() {
        List<DomainPlan> during = CapacityPlanner.plan(SCALING, domains(8, 16, 2, 0, 2, 4), NEEDED);
        Assert.assertEquals(during.get(0).permanent(), 8);
        List<DomainPlan> after = CapacityPlanner.plan(SCALING, domains(8, 16, 2, 16, 2, 16), NEEDED);
        Assert.assertEquals(after.get(0).permanent(), 2);
    }

    @Test
    public void thePlanStaysWithinTheBoundsOfADomain() {
        for (int needed : new int[] {0, 1, 5, 48, 90, 400}) {
            for (int permanent : new int[] {0, 2, 34}) {
                for (DomainPlan plan :
                        CapacityPlanner.plan(SCALING, domains(permanent, 3, permanent, 0, 0, 0), needed)) {
                    int total = plan.permanent() + plan.reclaimable();
                    Assert.assertTrue(total >= SCALING.min() && total <= SCALING.max(), needed + ": " + plan);
                }
            }
        }
    }

    private static List<DomainServers> domains(int... counts) {
        return List.of(
                new DomainServers("a", 0.85, counts[0], counts[1], true),
                new DomainServers("b", 1.2, counts[2], counts[3], true),
                new DomainServers("c", 1.0, counts[4], counts[5], true));
    }
}
