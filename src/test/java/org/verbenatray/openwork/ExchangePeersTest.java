package org.verbenatray.openwork;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.continuation.StreamHomes;

/** Tests the selection of the peers of an instance. */
public final class ExchangePeersTest {
    @Test
    public void inASmallFleetAllOtherInstancesAreSelected() {
        ExchangePeers peers = ExchangePeers.of("m3", "d1");
        peers.replace(fleet(6));
        Assert.assertEquals(peers.selectedAddresses().size(), 5);
        Assert.assertEquals(peers.sampleWeight(), 1.0);
        Assert.assertFalse(peers.selectedAddresses().contains(address(3)));
    }

    @Test
    public void inALargeFleetTheNumberOfPeersIsBounded() {
        for (int size : new int[] {30, 100, 370}) {
            ExchangePeers peers = ExchangePeers.of("m3", "d1");
            peers.replace(fleet(size));
            Assert.assertEquals(peers.selectedAddresses().size(), 12);
            Assert.assertEquals(peers.sampleWeight(), (size - 1) / 12.0, 1e-9);
        }
    }

    @Test
    public void aRemovedInstanceIsNotSelected() {
        ExchangePeers peers = ExchangePeers.of("m0", "d1");
        peers.replace(fleet(2));
        peers.remove("m1");
        Assert.assertTrue(peers.selectedAddresses().isEmpty());
        Assert.assertEquals(peers.sampleWeight(), 1.0);
    }

    @Test
    public void allInstancesDeriveTheSameHomesInDifferentDomains() {
        for (int size : new int[] {6, 100}) {
            for (int key = 0; key < 50; key++) {
                Set<InetSocketAddress> homes = homes(1, size, "id" + key);
                Assert.assertEquals(homes(2, size, "id" + key), homes);
                Assert.assertEquals(homes.size(), 3);
                Set<Integer> domains =
                        homes.stream().map(home -> (home.getPort() - 1_000) % 3).collect(Collectors.toSet());
                Assert.assertEquals(domains.size(), 3);
            }
        }
    }

    /** Returns the homes of a key in a fleet of the given size, as an instance derives them. */
    private static Set<InetSocketAddress> homes(int self, int size, String key) {
        ExchangePeers peers = ExchangePeers.of("m" + self, "d" + self % 3);
        peers.replace(fleet(size));
        StreamHomes homes = peers.homes(key);
        Set<InetSocketAddress> all = new HashSet<>(homes.others());
        if (homes.includesSelf()) {
            all.add(address(self));
        }
        return all;
    }

    private static Map<String, ListedInstance> fleet(int size) {
        Map<String, ListedInstance> fleet = new HashMap<>();
        for (int number = 0; number < size; number++) {
            fleet.put("m" + number, new ListedInstance(address(number), "d" + number % 3));
        }
        return fleet;
    }

    private static InetSocketAddress address(int number) {
        return new InetSocketAddress("127.0.0.1", 1_000 + number);
    }
}
