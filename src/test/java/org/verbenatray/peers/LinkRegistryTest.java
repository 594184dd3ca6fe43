package org.verbenatray.peers;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of {@link LinkRegistry}. */
public final class LinkRegistryTest {
    @Test
    public void bothEndsKeepTheLinkThatTheFirstNameOpenedInWhicheverOrderTheyOpen() {
        assertTrue(LinkRegistry.replaces("a", "b", false, true), "a: own link after that of b");
        assertFalse(LinkRegistry.replaces("a", "b", true, false), "a: link of b after its own");
        assertTrue(LinkRegistry.replaces("b", "a", true, false), "b: link of a after its own");
        assertFalse(LinkRegistry.replaces("b", "a", false, true), "b: own link after that of a");
    }

    @Test
    public void aNewerLinkOfTheSameSideReplacesTheOlderOne() {
        assertTrue(LinkRegistry.replaces("a", "b", true, true));
        assertTrue(LinkRegistry.replaces("b", "a", false, false));
    }
}
