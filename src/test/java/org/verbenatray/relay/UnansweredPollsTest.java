package org.verbenatray.relay;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** When the failures of several instances show that an engine is unreachable. */
public final class UnansweredPollsTest {
    private static final long SECOND = 1_000_000_000;

    private UnansweredPolls polls;

    @BeforeMethod
    public void start() {
        polls = UnansweredPolls.create(2);
    }

    @Test
    public void twoInstancesThatOtherEnginesAnswerAgree() {
        fail("i1", SECOND);
        polls.recordAnswer("other", "i1", SECOND);
        Assert.assertFalse(polls.isAgreed("e1", SECOND));
        fail("i2", SECOND);
        polls.recordAnswer("other", "i2", SECOND);
        Assert.assertTrue(polls.isAgreed("e1", SECOND));
    }

    @Test
    public void instancesThatNoEngineAnswersDoNotAgree() {
        polls.recordAnswer("other", "i1", 0);
        polls.recordAnswer("other", "i2", 0);
        fail("i1", SECOND);
        fail("i2", SECOND);
        Assert.assertFalse(polls.isAgreed("e1", SECOND));
    }

    @Test
    public void anEngineThatHasJustAnsweredAThirdInstanceIsNotUnreachable() {
        polls.recordAnswer("e1", "i3", SECOND);
        fail("i1", 2 * SECOND);
        fail("i2", 2 * SECOND);
        polls.recordAnswer("other", "i1", 2 * SECOND);
        polls.recordAnswer("other", "i2", 2 * SECOND);
        Assert.assertFalse(polls.isAgreed("e1", 2 * SECOND));
        Assert.assertTrue(polls.isAgreed("e1", 4 * SECOND));
    }

    @Test
    public void anAnswerEndsTheFailuresBeforeIt() {
        twoInstancesThatOtherEnginesAnswerAgree();
        polls.recordAnswer("e1", "i1", 2 * SECOND);
        Assert.assertFalse(polls.isAgreed("e1", 2 * SECOND));
    }

    @Test
    public void oldFailuresDoNotCount() {
        twoInstancesThatOtherEnginesAnswerAgree();
        Assert.assertFalse(polls.isAgreed("e1", 6 * SECOND));
    }

    @Test
    public void aFurtherInstanceLooksUntilTwoAgreeUnlessItHasFailedItself() {
        fail("i1", SECOND);
        Assert.assertTrue(polls.needsObserver("e1", SECOND));
        twoInstancesThatOtherEnginesAnswerAgree();
        Assert.assertFalse(polls.needsObserver("e1", SECOND));
        polls.recordFailure("e2", UnansweredPolls.SELF, SECOND);
        Assert.assertFalse(polls.needsObserver("e2", SECOND));
    }

    @Test
    public void anAnswerToAnotherInstanceSpeaksAgainstAFailureForAWhile() {
        polls.recordAnswer("e1", "i1", SECOND);
        fail("i1", 2 * SECOND);
        Assert.assertFalse(polls.isContradicted("e1", "i1", 2 * SECOND));
        polls.recordAnswer("e1", "i2", 2 * SECOND);
        Assert.assertTrue(polls.isContradicted("e1", "i1", 3 * SECOND));
        Assert.assertFalse(polls.isContradicted("e1", "i1", 5 * SECOND));
    }

    private void fail(String instance, long atNanos) {
        polls.recordFailure("e1", instance, atNanos);
    }
}
