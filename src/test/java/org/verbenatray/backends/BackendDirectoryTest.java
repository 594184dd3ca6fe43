package org.verbenatray.backends;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.backends.BackendDirectory.Listing;
import org.verbenatray.time.ManualTime;

/** Tests the removal and the restart of listed servers, also while the server list is unreachable. */
public final class BackendDirectoryTest {
    private final ManualTime time = new ManualTime();
    private final List<String> ended = new ArrayList<>();

    @Test
    public void aServerThatDisappearsWhileTheListIsUnreachableIsKeptForTheGracePeriod() {
        BackendDirectory directory = directory();
        directory.put(listing("a", 1, 1, false));
        directory.markListUnreachable();
        directory.remove("a");
        time.advanceMillis(1_000);
        directory.removeExpired();
        Assert.assertEquals(directory.usable("s").size(), 1);
        time.advanceMillis(2_000);
        directory.removeExpired();
        Assert.assertEquals(directory.usable("s").size(), 0);
    }

    @Test
    public void aServerThatRenewsItsEntryWithinTheGracePeriodIsKept() {
        BackendDirectory directory = directory();
        directory.put(listing("a", 1, 1, false));
        directory.markListUnreachable();
        directory.remove("a");
        directory.put(listing("a", 1, 2, false));
        time.advanceMillis(9_000);
        directory.removeExpired();
        Assert.assertEquals(directory.usable("s").size(), 1);
    }

    @Test
    public void aServerThatDisappearsWhileTheListIsReachableIsRemovedAtOnceAndNotRestoredByALateCopy() {
        BackendDirectory directory = directory();
        directory.put(listing("a", 1, 5, false));
        directory.remove("a");
        directory.put(listing("a", 1, 5, false));
        Assert.assertEquals(directory.usable("s").size(), 0);
    }

    @Test
    public void aLeavingServerThatDisappearsIsRemovedAtOnceEvenWhileTheListIsUnreachable() {
        BackendDirectory directory = directory();
        directory.put(listing("a", 1, 1, true));
        directory.markListUnreachable();
        directory.remove("a");
        Assert.assertTrue(directory.find("a").isEmpty());
    }

    @Test
    public void aRestartUnderTheSameIdReplacesTheServer() {
        BackendDirectory directory = directory();
        directory.put(listing("b", 1, 9, true));
        directory.put(listing("b", 2, 1, false));
        Assert.assertTrue(ended.contains("b@1"));
        Assert.assertEquals(directory.usable("s").size(), 1);
        directory.put(listing("b", 1, 10, false));
        Assert.assertEquals(directory.find("b").orElseThrow().entry().startedMillis(), 2);
    }

    private BackendDirectory directory() {
        return BackendDirectory.empty(time, backend -> ended.add(backend.entry().bootId()));
    }

    private static Listing listing(String id, long startedMillis, long sequence, boolean leaving) {
        BackendEntry entry = new BackendEntry(
                id,
                "s",
                URI.create("http://127.0.0.1:1"),
                "d",
                BackendStage.PLAIN,
                leaving,
                6,
                "v1",
                false,
                startedMillis);
        return new Listing(entry, sequence);
    }
}
