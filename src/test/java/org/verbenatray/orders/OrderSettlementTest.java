package org.verbenatray.orders;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.log.RecordBody.OrderResult;
import org.verbenatray.orders.Order.ChangeRole;
import org.verbenatray.orders.OrderSettlement.Step;
import org.verbenatray.time.Deadline;

/** Tests of {@link OrderSettlement} and of the text form of orders. */
public final class OrderSettlementTest {
    private static final Order TO_DECODE = new ChangeRole(EngineRole.DECODE);
    private static final OutstandingOrder JOURNALLED = new OutstandingOrder("o", "e", "l", 20, TO_DECODE.action());
    private static final Deadline AT_100 = new Deadline(100);
    private static final EngineOrderState UNCHANGED = state(EngineRole.BOTH, "before", false, 20);
    private static final EngineOrderState UNFENCED = state(EngineRole.BOTH, "before", false, 19);
    private static final OrderProgress FRESH = OrderProgress.fresh(JOURNALLED, TO_DECODE, true);
    private static final OrderProgress FRESH_PLAIN = OrderProgress.fresh(JOURNALLED, TO_DECODE, false);
    private static final OrderProgress TAKEN = OrderProgress.takenOver(JOURNALLED, TO_DECODE, true, 15, AT_100);
    private static final OrderProgress TAKEN_PLAIN = OrderProgress.takenOver(JOURNALLED, TO_DECODE, false, 15, AT_100);
    private static final Step DONE = Step.settle(OrderResult.DONE);
    private static final Step NOT_RUN = Step.settle(OrderResult.NOT_RUN);
    private static final Step REFUSED = Step.settle(OrderResult.REFUSED);

    @DataProvider
    public static Object[][] steps() {
        return new Object[][] {
            {FRESH, UNCHANGED, 0L, Step.SEND},
            {FRESH_PLAIN, UNCHANGED, 0L, Step.SEND},
            {FRESH, state(EngineRole.BOTH, "before", true, 20), 0L, Step.WAIT},
            {FRESH, state(EngineRole.BOTH, "o", false, 20), 0L, DONE},
            {FRESH.answered(OrderReply.REFUSED), UNCHANGED, 0L, REFUSED},
            {FRESH.unanswered(AT_100).answered(OrderReply.REFUSED), UNCHANGED, 99L, Step.WAIT},
            {FRESH.unanswered(AT_100).answered(OrderReply.REFUSED), UNCHANGED, 100L, REFUSED},
            {FRESH.unanswered(AT_100), UNCHANGED, 0L, Step.SEND},
            {FRESH_PLAIN.unanswered(AT_100), UNCHANGED, 99L, Step.WAIT},
            {FRESH_PLAIN.unanswered(AT_100), UNCHANGED, 100L, NOT_RUN},
            {FRESH_PLAIN.notSent(), UNCHANGED, 0L, Step.SEND},
            {FRESH_PLAIN.notSent().notSent(), UNCHANGED, 0L, NOT_RUN},
            {TAKEN, UNCHANGED, 0L, Step.SEND},
            {TAKEN_PLAIN, UNCHANGED, 99L, Step.WAIT},
            {TAKEN_PLAIN, UNCHANGED, 100L, NOT_RUN},
            {TAKEN_PLAIN, state(EngineRole.DECODE, "", false, 0), 99L, Step.WAIT},
            {TAKEN_PLAIN, state(EngineRole.DECODE, "", false, 0), 100L, DONE},
            {TAKEN.notSent().notSent(), UNFENCED, 100L, Step.WAIT},
            {TAKEN.notSent().notSent(), UNCHANGED, 100L, NOT_RUN},
        };
    }

    @Test(dataProvider = "steps")
    public void theStepIsTheOnlySafeOne(
            OrderProgress progress, EngineOrderState state, long readStartedNanos, Step expected) {
        assertEquals(OrderSettlement.next(progress, state, readStartedNanos, 2), expected);
    }

    @Test
    public void theNumberOfARepeatedOrderIsAboveAllNumbersOfTheFormerHolder() {
        assertEquals(FRESH.fencing(), 20);
        assertEquals(
                OrderProgress.takenOver(JOURNALLED, TO_DECODE, true, 30, AT_100).fencing(), 30);
    }

    @Test
    public void theTextFormOfEachOrderIsReadBack() {
        ModelVersion model = new ModelVersion("large@beta", "3");
        for (Order order : Set.of(TO_DECODE, new Order.Load(model), new Order.Unload(model), new Order.Withdraw())) {
            assertEquals(Order.parse(order.action()), Optional.of(order));
        }
        for (String action : Set.of("", "role=", "role=decode", "load=model", "load=@1", "run=x")) {
            assertEquals(Order.parse(action), Optional.empty());
        }
    }

    private static EngineOrderState state(EngineRole role, String lastOrderId, boolean changing, long highest) {
        return new EngineOrderState(role, Set.of(), false, Optional.of(lastOrderId), changing, highest);
    }
}
