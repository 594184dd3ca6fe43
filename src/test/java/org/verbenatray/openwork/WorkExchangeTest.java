package org.verbenatray.openwork;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.resilience.Crash;
import org.verbenatray.time.ManualTime;

/** Tests the exchange of open work between two instances over a channel that may lose datagrams. */
public final class WorkExchangeTest {
    private ManualTime time;

    private RemoteWork remoteWork;

    private Map<String, EngineWork> localWork;

    private List<byte[]> droppedDatagrams;

    /** The notices that the peer has received. */
    private List<WorkNotice> received;

    private List<Crash> crashes;

    private boolean dropDatagrams;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        remoteWork = RemoteWork.create(time, () -> 1);
        localWork = new HashMap<>();
        droppedDatagrams = new ArrayList<>();
        received = new ArrayList<>();
        crashes = new ArrayList<>();
        dropDatagrams = false;
    }

    @Test
    public void changesAtSeveralEnginesAreReceivedTogether() {
        WorkExchange exchange = exchange();
        localWork.put("e1", new EngineWork(10, 0, 1));
        localWork.put("e2", new EngineWork(20, 0, 1));
        exchange.markChanged("e1");
        exchange.markChanged("e2");
        time.advanceMillis(5);
        Assert.assertEquals(remoteWork.workAt("e1").regularMicros(), 10);
        Assert.assertEquals(remoteWork.workAt("e2").regularMicros(), 20);
    }

    @Test
    public void workThatHasEndedIsReportedAsNone() {
        WorkExchange exchange = exchange();
        localWork.put("e1", new EngineWork(10, 0, 1));
        exchange.markChanged("e1");
        time.advanceMillis(5);
        localWork.clear();
        exchange.markChanged("e1");
        time.advanceMillis(5);
        Assert.assertEquals(remoteWork.workAt("e1"), EngineWork.NONE);
    }

    @Test
    public void theNextConfirmationMakesUpForALostNotice() {
        WorkExchange exchange = exchange();
        dropDatagrams = true;
        localWork.put("e1", new EngineWork(10, 0, 1));
        exchange.markChanged("e1");
        time.advanceMillis(5);
        Assert.assertEquals(remoteWork.workAt("e1"), EngineWork.NONE);
        Assert.assertFalse(droppedDatagrams.isEmpty());
        dropDatagrams = false;
        time.advanceMillis(300);
        Assert.assertEquals(remoteWork.workAt("e1").openRequests(), 1);
    }

    @Test
    public void aPlacementIsSentOnceWithTheNextChangeOfWork() {
        WorkExchange exchange = exchange();
        exchange.addPlacement(new PromptPlacement("e1", false, Map.of("ab", 100)));
        localWork.put("e1", new EngineWork(10, 0, 1));
        exchange.markChanged("e1");
        time.advanceMillis(5);
        exchange.markChanged("e1");
        time.advanceMillis(5);
        List<PromptPlacement> placements = received.stream()
                .flatMap(notice -> notice.placements().stream())
                .toList();
        Assert.assertEquals(placements, List.of(new PromptPlacement("e1", false, Map.of("ab", 100))));
    }

    @Test
    public void crashesAreToldAgainUntilTheLogHasThem() {
        exchange();
        crashes.add(new Crash("bad", "s@1"));
        dropDatagrams = true;
        time.advanceMillis(1_000);
        dropDatagrams = false;
        time.advanceMillis(300);
        Assert.assertEquals(received.get(received.size() - 1).crashes(), crashes);
        crashes.clear();
        received.clear();
        time.advanceMillis(1_000);
        Assert.assertEquals(received, List.of());
    }

    @Test
    public void aMalformedDatagramIsDropped() {
        WorkExchange exchange = exchange();
        exchange.receive(new byte[] {(byte) 0xff, 1, 2});
        Assert.assertEquals(remoteWork.workAt("e1"), EngineWork.NONE);
    }

    /** Starts an exchange whose only peer adds the work it receives to {@link #remoteWork}. */
    /**
     * Each change of each request was a notice of its own to each peer, hundreds a second at an instance of a fleet of
     * 95.
     */
    @Test
    public void inALargeFleetChangesAreGatheredLonger() {
        ExchangePeers peers = ExchangePeers.of("self", "d1");
        for (int number = 0; number < 94; number++) {
            peers.put("m" + number, new ListedInstance(new InetSocketAddress("127.0.0.1", 1 + number), "d2"));
        }
        List<byte[]> sent = new ArrayList<>();
        WorkExchange exchange = WorkExchange.start(
                new WorkExchange.LocalInstance("self", 1, () -> localWork, boot -> OptionalLong.of(4), () -> crashes),
                peers,
                RemoteWork.create(time, () -> 1),
                (to, datagram) -> sent.add(datagram),
                time,
                time);
        for (int change = 0; change < 100; change++) {
            localWork.put("e1", new EngineWork(10, 0, 1 + change));
            exchange.markChanged("e1");
            time.advanceMillis(30);
        }
        int notices = sent.size() / peers.selectedAddresses().size();
        Assert.assertTrue(notices <= 3 * (10 + 4), "notices in 3 s: " + notices);
    }

    /** Confirmations carry only engines with work; in a large fleet nothing else tells that it has ended. */
    @Test
    public void inALargeFleetTheEndOfWorkIsToldWithTheNextConfirmation() throws Exception {
        ExchangePeers peers = ExchangePeers.of("self", "d1");
        for (int number = 0; number < 94; number++) {
            peers.put("m" + number, new ListedInstance(new InetSocketAddress("127.0.0.1", 1 + number), "d2"));
        }
        List<byte[]> sent = new ArrayList<>();
        localWork.put("e1", new EngineWork(10, 0, 1));
        WorkExchange exchange = WorkExchange.start(
                new WorkExchange.LocalInstance("self", 1, () -> localWork, boot -> OptionalLong.of(4), List::of),
                peers,
                RemoteWork.create(time, () -> 1),
                (to, datagram) -> sent.add(datagram),
                time,
                time);
        localWork.clear();
        exchange.markChanged("e1");
        sent.clear();
        time.advanceMillis(601);
        WorkNotice notice = WorkNoticeCodec.decode(sent.get(0));
        Assert.assertEquals(notice.workByEngine(), Map.of("e1", EngineWork.NONE));
    }

    private WorkExchange exchange() {
        ExchangePeers peers = ExchangePeers.of("self", "d1");
        peers.put("other", new ListedInstance(new InetSocketAddress("127.0.0.1", 1), "d2"));
        WorkExchange other = WorkExchange.start(
                new WorkExchange.LocalInstance("other", 1, Map::of, boot -> OptionalLong.empty(), List::of),
                ExchangePeers.of("other", "d1"),
                remoteWork,
                (to, datagram) -> {},
                time,
                (when, task) -> {});
        return WorkExchange.start(
                new WorkExchange.LocalInstance("self", 1, () -> localWork, boot -> OptionalLong.of(4), () -> crashes),
                peers,
                RemoteWork.create(time, () -> 1),
                (to, datagram) -> {
                    if (dropDatagrams) {
                        droppedDatagrams.add(datagram);
                    } else {
                        other.receive(datagram).ifPresent(received::add);
                    }
                },
                time,
                time);
    }
}
