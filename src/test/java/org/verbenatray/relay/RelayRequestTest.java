package org.verbenatray.relay;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Tests for {@link RelayRequest}. */
public final class RelayRequestTest {
    /** A request that came again with another query was not recognized. */
    @Test
    public void aRepeatWithAnotherQueryHasTheSameFingerprint() {
        Assert.assertEquals(
                request("10.0.0.1", "/a/b?page=1", "x").fingerprint(),
                request("10.0.0.1", "/a/b?page=2", "x").fingerprint());
    }

    /** A request that came again from another address was not recognized. */
    @Test
    public void aRepeatFromAnotherAddressHasTheSameFingerprint() {
        Assert.assertEquals(
                request("10.0.0.1", "/a/b", "x").fingerprint(),
                request("10.0.0.2", "/a/b", "x").fingerprint());
    }

    @Test
    public void requestsThatDifferInPathOrBodyHaveDifferentFingerprints() {
        String fingerprint = request("10.0.0.1", "/a/b", "x").fingerprint();
        Assert.assertNotEquals(request("10.0.0.1", "/a/c", "x").fingerprint(), fingerprint);
        Assert.assertNotEquals(request("10.0.0.1", "/a/b", "y").fingerprint(), fingerprint);
        Assert.assertNotEquals(request("10.0.0.1", "/a/bx", "").fingerprint(), fingerprint);
    }

    private static RelayRequest request(String caller, String target, String body) {
        return new RelayRequest(
                "id",
                caller,
                "POST",
                target,
                "h.example",
                Map.of(),
                body.getBytes(StandardCharsets.UTF_8),
                0,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }
}
