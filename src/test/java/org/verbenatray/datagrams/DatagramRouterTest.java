package org.verbenatray.datagrams;

import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Datagrams of several kinds, by their first byte. */
public final class DatagramRouterTest {
    private final DatagramRouter router = DatagramRouter.create();

    private final List<String> received = new ArrayList<>();

    @Test
    public void eachKindReachesItsReceiverAndOthersNone() {
        router.register(datagram -> Datagrams.beginsWith(datagram, 1), datagram -> received.add("first"));
        router.register(datagram -> Datagrams.beginsWith(datagram, 2), datagram -> received.add("second"));
        router.route(new byte[] {2, 7});
        router.route(new byte[] {1});
        router.route(new byte[] {3});
        router.route(new byte[0]);
        Assert.assertEquals(received, List.of("second", "first"));
    }
}
