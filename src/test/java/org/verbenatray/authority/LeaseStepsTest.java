package org.verbenatray.authority;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.testng.annotations.Test;
import org.verbenatray.authority.LeaseSteps.Circumstances;
import org.verbenatray.log.RecordBody.LeaseClaim;
import org.verbenatray.time.Deadline;

/** Tests of {@link LeaseSteps} and {@link LeasePreference}. */
public final class LeaseStepsTest {
    private static final LeaseTerms TERMS = new LeaseTerms(6_000, 500, 1_500, 400, 1_000);
    private static final LeaseSteps STEPS = new LeaseSteps("lease", "a", TERMS);

    @Test
    public void theAuthorityEndsOneTermLessTheMarginAfterSendingBeganHoweverLateTheAnswer() {
        LeaseMemory memory = LeaseMemory.create(0);
        LeaseAction claim = STEPS.next(memory, Optional.empty(), at(1_000, 0)).orElseThrow();
        memory = memory.started(claim, TERMS, millis(1_000));
        LeaseAction again = STEPS.next(memory, Optional.empty(), at(2_000, 0)).orElseThrow();
        memory = memory.started(again, TERMS, millis(2_000));
        memory = STEPS.observe(memory, Optional.of(state("a", 7)), millis(4_000));
        assertEquals(memory.tenure().orElseThrow().end(), new Deadline(millis(6_500)));
    }

    @Test
    public void aHeldLeaseIsClaimedAFullTermAfterItsLastRecordWasRead() {
        Optional<LeaseState> held = Optional.of(state("b", 7));
        LeaseMemory memory = STEPS.observe(LeaseMemory.create(0), held, millis(1_000));
        assertFalse(STEPS.next(memory, held, at(6_999, 0)).isPresent());
        assertTrue(STEPS.next(memory, held, at(7_000, 0)).orElseThrow().body() instanceof LeaseClaim);
        assertFalse(STEPS.next(memory, held, at(7_799, 2)).isPresent());
        assertTrue(STEPS.next(memory, held, at(7_800, 2)).isPresent());
    }

    @Test
    public void anotherAcceptedClaimEndsTheHoldingAtOnce() {
        LeaseMemory memory = LeaseMemory.create(0);
        LeaseAction claim = STEPS.next(memory, Optional.empty(), at(0, 0)).orElseThrow();
        memory = STEPS.observe(memory.started(claim, TERMS, 0), Optional.of(state("a", 7)), 1);
        assertTrue(memory.tenure().isPresent());
        assertTrue(STEPS.observe(memory, Optional.of(state("b", 8)), 2).tenure().isEmpty());
    }

    @Test
    public void aHoldingUnderAReusedNameIsNotTakenForItsOwn() {
        LeaseMemory memory = STEPS.observe(LeaseMemory.create(0), Optional.of(state("a", 7)), 1);
        assertTrue(memory.tenure().isEmpty());
    }

    @Test
    public void theInstancesOfAFailureDomainHaveDifferentRanks() {
        List<String> live = List.of("a", "b", "c", "a");
        List<Integer> ranks = List.of("a", "b", "c").stream()
                .map(instance -> LeasePreference.rank("lease", instance, live))
                .sorted()
                .toList();
        assertEquals(ranks, List.of(0, 1, 2));
    }

    private static Circumstances at(long nowMillis, int rank) {
        return new Circumstances(millis(nowMillis), rank, false, true, instance -> false);
    }

    private static LeaseState state(String holder, long offset) {
        return new LeaseState(Optional.of(holder), offset, 6_000, offset, new TreeMap<>());
    }

    private static long millis(long millis) {
        return millis * 1_000_000;
    }
}
