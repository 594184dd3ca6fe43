package org.verbenatray.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.verbenatray.admission.AdmissionFixtures.FREE;
import static org.verbenatray.admission.AdmissionFixtures.IDLE;
import static org.verbenatray.admission.AdmissionFixtures.refusal;
import static org.verbenatray.admission.AdmissionFixtures.request;
import static org.verbenatray.admission.AdmissionFixtures.ticket;
import static org.verbenatray.fleet.FleetFixtures.MILLI;
import static org.verbenatray.fleet.FleetFixtures.MODEL;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.configuration.FleetConfiguration.CustomerSpec;
import org.verbenatray.time.Deadline;

/** Tests of {@link AdmissionController}. */
public final class AdmissionControllerTest {
    private static final Deadline FAR = new Deadline(1_000_000 * MILLI);
    private static final AdmissionBounds BOUNDS = AdmissionBounds.defaults();

    private AdmissionController controller;

    @BeforeMethod
    public void createController() {
        Map<String, CustomerSpec> customers = Map.of(
                "slow", new CustomerSpec("", 1, 2, 1e9, 100, 1),
                "small", new CustomerSpec("", 1, 1e6, 1_000, 100, 1),
                "narrow", new CustomerSpec("", 1, 1e6, 1e9, 2, 1));
        controller = AdmissionFixtures.controller(customers, BOUNDS);
    }

    @Test
    public void whatIsNotConfiguredIsRefusedForGood() {
        Refusal customer = refusal(controller.admit(request("who", 1, 9_000), IDLE, 0));
        assertEquals(customer.kind(), RefusalKind.UNKNOWN_CUSTOMER);
        AdmissionRequest model = new AdmissionRequest("narrow", "what", 1, 1, 1, FAR);
        assertEquals(refusal(controller.admit(model, IDLE, 0)).kind(), RefusalKind.UNKNOWN_MODEL);
        AdmissionRequest tooLong = new AdmissionRequest("narrow", MODEL, 1, 400_000, 1, FAR);
        Refusal refusal = refusal(controller.admit(tooLong, Optional.empty(), 0));
        assertEquals(refusal.kind(), RefusalKind.TOO_LONG);
        assertEquals(refusal.retryAfterMillis(), OptionalLong.empty());
        assertTrue(refusal.message().endsWith(RefusalKind.TOO_LONG.remedy()), refusal.message());
    }

    @Test
    public void aCustomerBeyondItsRateIsToldWhenTheNextRequestIsAllowed() {
        for (int sent = 0; sent < BOUNDS.minBurstRequests(); sent++) {
            ticket(controller.admit(request("slow", 1, 9_000), IDLE, 0));
        }
        Refusal refusal = refusal(controller.admit(request("slow", 1, 9_000), IDLE, 200 * MILLI));
        assertEquals(refusal.kind(), RefusalKind.RATE_LIMITED);
        assertEquals(refusal.retryAfterMillis(), OptionalLong.of(300));
        ticket(controller.admit(request("slow", 1, 9_000), IDLE, 500 * MILLI));
    }

    @Test
    public void tokensAreChargedAsExpectedAndCorrectedAtTheEnd() {
        AdmissionRequest large = new AdmissionRequest("small", MODEL, 1, 3_000, 1_000, FAR);
        Ticket ticket = ticket(controller.admit(large, IDLE, 0));
        Refusal refusal = refusal(controller.admit(large, IDLE, 0));
        assertEquals(refusal.kind(), RefusalKind.TOKENS_LIMITED);
        assertEquals(refusal.retryAfterMillis(), OptionalLong.of(2_001));
        controller.close(ticket, 100, 0);
        assertEquals(refusal(controller.admit(large, IDLE, 0)).retryAfterMillis(), OptionalLong.of(1_101));
    }

    @Test
    public void aCustomerWithTooManyOpenRequestsIsToldWhenTheFirstOneEnds() {
        Ticket first = ticket(controller.admit(request("narrow", 1, 9_000), IDLE, 0));
        ticket(controller.admit(request("narrow", 1, 9_000), IDLE, 500 * MILLI));
        Refusal refusal = refusal(controller.admit(request("narrow", 1, 9_000), IDLE, 1_000 * MILLI));
        assertEquals(refusal.kind(), RefusalKind.TOO_MANY_OPEN);
        assertEquals(refusal.retryAfterMillis(), OptionalLong.of(1_030));
        controller.close(first, 100, 1_100 * MILLI);
        ticket(controller.admit(request("narrow", 1, 9_000), IDLE, 1_100 * MILLI));
    }

    @Test
    public void aDeadlineThatCannotBeMetIsRefusedAtOnce() {
        AdmissionController busy = AdmissionFixtures.controller(Map.of("a", FREE, "b", FREE), BOUNDS);
        Refusal never = refusal(busy.admit(request("a", 1, 2_000), IDLE, 0));
        assertEquals(never.kind(), RefusalKind.DEADLINE_UNREACHABLE);
        assertEquals(never.retryAfterMillis(), OptionalLong.empty(), "even an idle fleet is too slow");
        for (int waiting = 0; waiting < 79; waiting++) {
            ticket(busy.admit(request("a", 1, 60_000), Optional.empty(), 0));
        }
        Refusal later = refusal(busy.admit(request("a", 1, 2_550), Optional.empty(), 0));
        assertEquals(later.kind(), RefusalKind.DEADLINE_UNREACHABLE);
        assertEquals(later.retryAfterMillis(), OptionalLong.of(500), "80 requests drain in 1 s");
        Refusal next = refusal(busy.admit(request("a", 1, 2_550), Optional.empty(), 0));
        assertEquals(next.retryAfterMillis(), OptionalLong.of(550), "a quarter of the capacity is for returns");
        Admission other = busy.admit(request("b", 1, 2_550), Optional.empty(), 0);
        assertEquals(((Admission.Queued) other).expectedWaitMillis(), 25, "its share comes after one of the others");
    }

    @Test
    public void aWaitingRequestIsGivenUpAtOnceWhenTheCapacityFalls() {
        AdmissionController busy = AdmissionFixtures.controller(Map.of("a", FREE), BOUNDS);
        for (int waiting = 0; waiting < 80; waiting++) {
            ticket(busy.admit(request("a", 1, 3_100), Optional.empty(), 0));
        }
        assertEquals(busy.giveUp(MILLI), List.of());
        ModelCapacity half = new ModelCapacity(50_000, 20_000, 80, 20, 400_000);
        busy.onCapacity(MODEL, half, 2 * MILLI);
        List<RefusedTicket> givenUp = busy.giveUp(2 * MILLI);
        assertEquals(givenUp.size(), 38, "42 of them start within the 1,048 ms that are left, one each 25 ms");
        assertEquals(givenUp.get(0).refusal().kind(), RefusalKind.DEADLINE_UNREACHABLE);
        assertEquals(busy.openRequests("a"), 42);
    }

    @Test
    public void requestsWaitForAPlannedChangeButNotForAnOutage() {
        AdmissionController changing = AdmissionFixtures.controller(Map.of("a", FREE), BOUNDS);
        changing.onCapacity(MODEL, ModelCapacity.NONE, 0);
        Refusal tooSoon = refusal(changing.admit(request("a", 1, 7_000), Optional.empty(), 0));
        assertEquals(tooSoon.kind(), RefusalKind.NO_ENGINE);
        assertEquals(tooSoon.retryAfterMillis(), OptionalLong.of(5_000));
        ticket(changing.admit(request("a", 1, 60_000), Optional.empty(), 0));
        assertEquals(changing.giveUp(10_000 * MILLI), List.of());
        List<RefusedTicket> givenUp = changing.giveUp(10_001 * MILLI);
        assertEquals(givenUp.get(0).refusal().kind(), RefusalKind.NO_ENGINE);
    }

    @Test
    public void aWithdrawnRequestLeavesNothingBehind() {
        Ticket waiting = ticket(controller.admit(request("narrow", 1, 9_000), Optional.empty(), 0));
        int open = controller.openRequests("narrow");
        controller.cancel(waiting, MILLI);
        controller.cancel(waiting, MILLI);
        controller.close(waiting, 5, MILLI);
        assertEquals(controller.openRequests("narrow"), open - 1);
        assertEquals(controller.queued(MODEL), 0);
        assertEquals(controller.backlog(MODEL), Work.NONE);
    }

    @Test
    public void aFullQueueMakesRoomForACustomerThatHoldsLess() {
        AdmissionBounds four = new AdmissionBounds(4, 800, 2, 8, 16);
        AdmissionController full = AdmissionFixtures.controller(Map.of("a", FREE, "b", FREE), four);
        for (int waiting = 0; waiting < 3; waiting++) {
            ticket(full.admit(request("a", 1, 60_000), Optional.empty(), 0));
        }
        Ticket newest = ticket(full.admit(request("a", 1, 60_000), Optional.empty(), 0));
        assertEquals(
                refusal(full.admit(request("a", 1, 60_000), Optional.empty(), 0))
                        .kind(),
                RefusalKind.OVERLOADED);
        ticket(full.admit(request("b", 1, 60_000), Optional.empty(), 0));
        List<RefusedTicket> displaced = full.giveUp(0);
        assertEquals(displaced.get(0).ticket(), newest);
        assertTrue(displaced.get(0).refusal().retryAfterMillis().isPresent());
        ticket(full.admit(request("b", 2, 60_000), Optional.empty(), 0));
        assertEquals(full.queued(MODEL), 5, "another priority has its own room");
    }

    @Test
    public void aRequestThatFitsNoEngineIsPassedOnlyAsOftenAsTheBoundAllows() {
        AdmissionController mixed = AdmissionFixtures.controller(Map.of("a", FREE, "b", FREE), BOUNDS);
        AdmissionRequest large = new AdmissionRequest("a", MODEL, 2, 300_000, 100, FAR);
        Ticket blocked = ticket(mixed.admit(large, Optional.empty(), 0));
        for (int small = 0; small < 40; small++) {
            ticket(mixed.admit(request("b", 1, 900_000), Optional.empty(), 0));
        }
        int passes = 0;
        while (mixed.next(MODEL, 0, any -> Optional.of(any).filter(it -> it.promptTokens() < 2_000))
                .isPresent()) {
            passes++;
        }
        assertEquals(passes, BOUNDS.maxPasses());
        assertEquals(mixed.next(MODEL, 0, Optional::of).orElseThrow().ticket(), blocked);
    }

    @Test
    public void eachInstanceGrantsItsPartOfTheLimits() {
        AdmissionController shared =
                AdmissionFixtures.controller(Map.of("c", new CustomerSpec("", 1, 1e6, 1e9, 9, 1)), BOUNDS);
        shared.onInstances(4, 0);
        for (int open = 0; open < 3; open++) {
            ticket(shared.admit(request("c", 1, 9_000), IDLE, 0));
        }
        assertEquals(refusal(shared.admit(request("c", 1, 9_000), IDLE, 0)).kind(), RefusalKind.TOO_MANY_OPEN);
        assertFalse(shared.dispatchable(1, new Expectation(801, 900, 20)));
    }

    @Test
    public void aHigherPriorityMayFillTheQueueOfAnEngineBeyondWhatALowerOneMay() {
        CustomerSpec urgent = new CustomerSpec("", 1, 1e6, 1e9, 9, 7);
        AdmissionController controller = AdmissionFixtures.controller(Map.of("c", FREE, "u", urgent), BOUNDS);
        assertTrue(controller.dispatchable(7, new Expectation(1_600, 1_700, 20)));
        assertFalse(controller.dispatchable(7, new Expectation(1_601, 1_700, 20)));
        assertFalse(controller.dispatchable(1, new Expectation(801, 900, 20)));
    }
}
