package org.verbenatray.openwork;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.testng.Assert;
import org.testng.annotations.Test;

/** The choice of instances that share their work. */
public final class NeighboursTest {
    @Test
    public void inASmallFleetEachSharesWithAllOthersAndNotWithItself() {
        Neighbours neighbours = Neighbours.of("m3");
        neighbours.replace(fleet(6));
        Assert.assertEquals(neighbours.sharing().size(), 5);
        Assert.assertEquals(neighbours.weight(), 1.0);
        Assert.assertFalse(neighbours.sharing().contains(address(3)));
    }

    @Test
    public void inALargeFleetTheCostOfAnInstanceDoesNotGrow() {
        for (int size : new int[] {30, 100, 370}) {
            Neighbours neighbours = Neighbours.of("m3");
            neighbours.replace(fleet(size));
            Assert.assertEquals(neighbours.sharing().size(), 12);
            Assert.assertEquals(neighbours.weight(), (size - 1) / 12.0, 1e-9);
        }
    }

    @Test
    public void anInstanceThatLeavesIsNotToldAnyMore() {
        Neighbours neighbours = Neighbours.of("m0");
        neighbours.replace(fleet(2));
        neighbours.remove("m1");
        Assert.assertTrue(neighbours.sharing().isEmpty());
        Assert.assertEquals(neighbours.weight(), 1.0);
    }

    private static Map<String, InetSocketAddress> fleet(int size) {
        Map<String, InetSocketAddress> fleet = new HashMap<>();
        for (int number = 0; number < size; number++) {
            fleet.put("m" + number, address(number));
        }
        return fleet;
    }

    private static InetSocketAddress address(int number) {
        return new InetSocketAddress("127.0.0.1", 1_000 + number);
    }
}
