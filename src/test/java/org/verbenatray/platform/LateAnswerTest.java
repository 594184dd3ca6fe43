package org.verbenatray.platform;

import java.nio.charset.StandardCharsets;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Answers that arrive late, a second time, on a connection that is in use again, where they answer another call. */
public final class LateAnswerTest {
    private static final byte[] REPORT =
            "{\"stage\":\"decode\",\"waiting\":1,\"running\":2}".getBytes(StandardCharsets.UTF_8);

    private static final byte[] CHANGES =
            "{\"epoch\":\"a\",\"next\":4,\"lost\":false,\"events\":[]}".getBytes(StandardCharsets.UTF_8);

    /** Polls carry no id; cache changes read as a load made a busy engine look idle. */
    @Test
    public void cacheChangesAreNoLoad() {
        Assert.assertTrue(PlatformProtocol.create().load(CHANGES).isEmpty());
        Assert.assertTrue(PlatformProtocol.create().load(REPORT).isPresent());
    }

    /** A load read as cache changes of another epoch emptied what was known of the cache. */
    @Test
    public void aLoadIsNoCacheChange() {
        Assert.assertTrue(PlatformProtocol.create().cacheChanges(REPORT).isEmpty());
        Assert.assertTrue(PlatformProtocol.create().cacheChanges(CHANGES).isPresent());
    }
}
