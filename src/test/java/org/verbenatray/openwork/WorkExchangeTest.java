package org.verbenatray.openwork;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.time.ManualTime;

/** Instances that tell one another of their open work over a wire that may lose datagrams. */
public final class WorkExchangeTest {
    private ManualTime time;

    private SharedWork heard;

    private Map<String, EngineWork> own;

    private List<byte[]> lost;

    private List<KeptParts> keptParts;

    private boolean losing;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        heard = SharedWork.create(time, () -> 1);
        own = new HashMap<>();
        lost = new ArrayList<>();
        keptParts = new ArrayList<>();
        losing = false;
    }

    @Test
    public void aChangeIsToldAsOneNoticeForAllEnginesOfAMoment() {
        WorkExchange exchange = exchange();
        own.put("e1", new EngineWork(10, 0, 1));
        own.put("e2", new EngineWork(20, 0, 1));
        exchange.changed("e1");
        exchange.changed("e2");
        time.advanceMillis(5);
        Assert.assertEquals(heard.others("e1").onTimeMicros(), 10);
        Assert.assertEquals(heard.others("e2").onTimeMicros(), 20);
    }

    @Test
    public void workThatIsDoneIsToldAsNone() {
        WorkExchange exchange = exchange();
        own.put("e1", new EngineWork(10, 0, 1));
        exchange.changed("e1");
        time.advanceMillis(5);
        own.clear();
        exchange.changed("e1");
        time.advanceMillis(5);
        Assert.assertEquals(heard.others("e1"), EngineWork.NONE);
    }

    @Test
    public void aLostNoticeIsMadeUpForByTheNextConfirmation() {
        WorkExchange exchange = exchange();
        losing = true;
        own.put("e1", new EngineWork(10, 0, 1));
        exchange.changed("e1");
        time.advanceMillis(5);
        Assert.assertEquals(heard.others("e1"), EngineWork.NONE);
        Assert.assertFalse(lost.isEmpty());
        losing = false;
        time.advanceMillis(300);
        Assert.assertEquals(heard.others("e1").runs(), 1);
    }

    @Test
    public void thePartsThatAnEngineWasGivenAreToldWithItsWork() {
        WorkExchange exchange = exchange();
        exchange.keeps(new KeptParts("e1", false, Map.of("ab", 100)));
        own.put("e1", new EngineWork(10, 0, 1));
        exchange.changed("e1");
        time.advanceMillis(5);
        exchange.changed("e1");
        time.advanceMillis(5);
        Assert.assertEquals(keptParts, List.of(new KeptParts("e1", false, Map.of("ab", 100))));
    }

    @Test
    public void bytesThatAreNoNoticeAreDropped() {
        WorkExchange exchange = exchange();
        exchange.received(new byte[] {(byte) 0xff, 1, 2});
        Assert.assertEquals(heard.others("e1"), EngineWork.NONE);
    }

    /** Returns the exchange of an instance whose one neighbour is the board that hears. */
    private WorkExchange exchange() {
        Neighbours neighbours = Neighbours.of("self");
        neighbours.put("other", new InetSocketAddress("127.0.0.1", 1));
        WorkExchange other = WorkExchange.start(
                new WorkExchange.Self("other", 1, Map::of),
                Neighbours.of("other"),
                heard,
                (to, datagram) -> {},
                time,
                (when, task) -> {});
        return WorkExchange.start(
                new WorkExchange.Self("self", 1, () -> own),
                neighbours,
                SharedWork.create(time, () -> 1),
                (to, datagram) -> {
                    if (losing) {
                        lost.add(datagram);
                    } else {
                        keptParts.addAll(other.received(datagram));
                    }
                },
                time,
                time);
    }
}
