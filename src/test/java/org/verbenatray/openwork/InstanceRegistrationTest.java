package org.verbenatray.openwork;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.log.FakeKeyedLog;
import org.verbenatray.state.RetryPacer;
import org.verbenatray.state.UnsharedReads;
import org.verbenatray.time.ManualTime;

/** Tests the registration, renewal and expiry of entries in the instance list. */
public final class InstanceRegistrationTest {
    private ManualTime time;

    private FakeKeyedLog log;

    private ExchangePeers peers;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        log = new FakeKeyedLog();
        peers = ExchangePeers.of("self", "d1");
    }

    @Test
    public void anInstanceRegistersItselfAndReadsTheOtherInstances() {
        addEntry("other");
        register();
        time.advanceMillis(2_000);
        Assert.assertEquals(peers.selectedAddresses().size(), 1);
        Assert.assertEquals(log.valueOf("self"), Optional.of("127.0.0.1:7 d1"));
    }

    @Test
    public void aFailedRegistrationIsRetried() {
        log.setDown(true);
        register();
        time.advanceMillis(5_000);
        Assert.assertEquals(log.valueOf("self"), Optional.empty());
        log.setDown(false);
        time.advanceMillis(5_000);
        Assert.assertEquals(log.valueOf("self"), Optional.of("127.0.0.1:7 d1"));
    }

    @Test
    public void anInstanceThatDoesNotRenewItsEntryIsRemoved() {
        addEntry("dead");
        register();
        time.advanceMillis(150_000);
        Assert.assertEquals(peers.selectedAddresses().size(), 1);
        time.advanceMillis(150_000);
        Assert.assertEquals(peers.selectedAddresses().size(), 0);
        Assert.assertEquals(log.valueOf("dead"), Optional.empty());
    }

    @Test
    public void anInstanceThatRenewsItsEntryIsKept() {
        addEntry("alive");
        register();
        for (int minute = 0; minute < 10; minute++) {
            time.advanceMillis(60_000);
            addEntry("alive");
        }
        time.advanceMillis(1_000);
        Assert.assertEquals(peers.selectedAddresses().size(), 1);
    }

    @Test
    public void aDeregisteredInstanceIsRemovedAndNotRegisteredAgain() {
        InstanceRegistration registration = register();
        time.advanceMillis(1_000);
        registration.deregister();
        time.advanceMillis(200_000);
        Assert.assertEquals(log.valueOf("self"), Optional.empty());
    }

    private InstanceRegistration register() {
        return InstanceRegistration.start(
                log,
                "self",
                new ListedInstance(new InetSocketAddress("127.0.0.1", 7), "d1"),
                peers,
                FleetShare.create(time),
                new InstanceRegistration.ListReads(
                        RetryPacer.create(() -> 0.5, time, time),
                        UnsharedReads.waiting(
                                InstanceRegistration.MIN_READ_INTERVAL_MILLIS, InstanceRegistration.READ_MILLIS)),
                time,
                time);
    }

    private void addEntry(String instance) {
        log.put(instance, Optional.of("127.0.0.1:9".getBytes(StandardCharsets.UTF_8)));
    }
}
