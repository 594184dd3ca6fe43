package org.verbenatray.relay;

import org.testng.Assert;
import org.testng.annotations.Test;

/** The estimate of when a caller first asked. */
public final class FirstAskedTest {
    @Test
    public void callersWhoDifferInHowLongTheyWaitAskForTheFirstTime() {
        FirstAsked asked = FirstAsked.unseen();
        asked.millisAgo("r", 8_000);
        Assert.assertEquals(asked.millisAgo("r", 6_900), 0.0);
    }

    @Test
    public void aCallerWhoseTimeIsMostlyOverHasAskedBefore() {
        FirstAsked asked = FirstAsked.unseen();
        asked.millisAgo("r", 8_000);
        Assert.assertTrue(asked.millisAgo("r", 5_000) > 1_500);
    }

    @Test
    public void routesAreToldApart() {
        FirstAsked asked = FirstAsked.unseen();
        asked.millisAgo("long", 8_000);
        Assert.assertEquals(asked.millisAgo("short", 2_000), 0.0);
    }
}
