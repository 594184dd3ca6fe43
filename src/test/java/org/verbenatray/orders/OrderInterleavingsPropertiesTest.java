package org.verbenatray.orders;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterProperty;

/** Interleavings of claimants, engines and the log; the fakes fail when an invariant breaks. */
public final class OrderInterleavingsPropertiesTest {
    /** The steps with failures in one try. */
    private static final int FAULTY_STEPS = 3_000;

    /** The bound on the steps in which a healed world has to settle. */
    private static final int HEALED_STEPS = 6_000;

    /** The events that the tries must have reached, so that the invariants were put to the test. */
    private static final List<String> REQUIRED_EVENTS = List.of(
            "old number refused",
            "repeat ignored",
            "crash in a change",
            "answer lost",
            "effect on checking",
            "effect on plain",
            "plain NOT_RUN",
            "checking NOT_RUN",
            "LeaseHolderGone",
            "LeaseClaim rejected",
            "LeaseRelease",
            "OrderIntent rejected",
            "OrderOutcome rejected");

    /** The counts of events over all tries. */
    private static final Map<String, Integer> COUNTS = new TreeMap<>();

    /** The number of tries. */
    private static final int TRIES = 2_000;

    @Property(tries = TRIES, seed = "41", shrinking = ShrinkingMode.OFF)
    void noConflictingOrderAndNoEffectAfterAuthorityIsLost(@ForAll long seed) {
        OrderWorld world = new OrderWorld(seed, COUNTS);
        world.runFaulty(FAULTY_STEPS);
        requireSnapshotEqualsState(world.truth);
        Map<String, Boolean> settled = world.runHealed(HEALED_STEPS);
        if (settled.size() < world.engines.size()) {
            throw new AssertionError("after healing only these engines take orders: " + settled.keySet());
        }
    }

    @AfterProperty
    void theInterestingCasesWereReached() {
        System.out.println("events over all tries: " + COUNTS);
        if (COUNTS.get("world") < TRIES) {
            return;
        }
        for (String event : REQUIRED_EVENTS) {
            if (!COUNTS.containsKey(event)) {
                throw new AssertionError("never reached: " + event);
            }
        }
    }

    private static void requireSnapshotEqualsState(FakeFolds folds) {
        FakeFolds copy = new FakeFolds();
        copy.leases.importState(folds.leases.exportState());
        copy.orders.importState(folds.orders.exportState());
        boolean equal = copy.leases.lease(OrderWorld.LEASE).equals(folds.leases.lease(OrderWorld.LEASE))
                && copy.orders.journal("checking").equals(folds.orders.journal("checking"))
                && copy.orders.journal("plain").equals(folds.orders.journal("plain"));
        if (!equal) {
            throw new AssertionError("an imported state differs from the exported one");
        }
    }
}
