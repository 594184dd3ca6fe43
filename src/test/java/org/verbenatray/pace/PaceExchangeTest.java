package org.verbenatray.pace;

import java.io.IOException;
import java.util.Arrays;
import org.testng.Assert;
import org.testng.annotations.Test;

/** The notices by which instances tell one another the pace of servers. */
public final class PaceExchangeTest {
    @Test
    public void aNoticeIsReadAsItWasWritten() throws IOException {
        for (PaceNotice.Kind kind : PaceNotice.Kind.values()) {
            PaceNotice notice = new PaceNotice("app-1@17", kind, 0.25);
            byte[] datagram = PaceExchange.encode(notice);
            Assert.assertTrue(PaceExchange.recognizes(datagram));
            Assert.assertEquals(PaceExchange.decode(datagram), notice);
        }
    }

    @Test
    public void aNoticeWithAShareThatIsNoneIsDropped() {
        byte[] datagram = PaceExchange.encode(new PaceNotice("app-1@17", PaceNotice.Kind.RAISED, Double.NaN));
        PaceExchange.receive(datagram, notice -> Assert.fail("passed on: " + notice));
    }

    @Test
    public void aTruncatedNoticeIsDropped() {
        byte[] datagram = PaceExchange.encode(new PaceNotice("app-1@17", PaceNotice.Kind.RAISED, 0.5));
        byte[] truncated = Arrays.copyOf(datagram, datagram.length - 3);
        PaceExchange.receive(truncated, notice -> Assert.fail("passed on: " + notice));
    }
}
