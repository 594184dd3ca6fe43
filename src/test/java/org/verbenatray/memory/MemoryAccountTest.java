package org.verbenatray.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.memory.MemoryAccount.Share;

/** Loads of large bodies and slow readers, as the account sees them. */
public final class MemoryAccountTest {
    private static final long KILOBYTE = 1_024;

    private static final long MAX_BYTES = 36L * 1024 * KILOBYTE;

    private static final long SMALL = 800;

    private MemoryAccount account;
    private List<String> events;

    @BeforeMethod
    public void setUp() {
        account = MemoryAccount.bounded(MAX_BYTES);
        events = new ArrayList<>();
    }

    @Test
    public void aBurstOfLargeBodiesLeavesRoomForSmallRequestsAndForResponses() {
        int admitted = 0;
        for (int number = 0; number < 200; number++) {
            admitted += request(open(MemoryUse.REQUEST_BODY, "body"), 400 * KILOBYTE) ? 1 : 0;
        }
        Assert.assertEquals(admitted, (int) (MAX_BYTES / 2 / (400 * KILOBYTE)));
        Assert.assertTrue(request(open(MemoryUse.REQUEST_BODY, "small"), SMALL));
        Assert.assertTrue(request(open(MemoryUse.RESPONSE, "response"), 1_000 * KILOBYTE));
    }

    @Test
    public void aWaitingBodyIsReadWhenAnotherOneIsDone() {
        List<Share> bodies = new ArrayList<>();
        for (int number = 0; number < 46; number++) {
            bodies.add(open(MemoryUse.REQUEST_BODY, "body" + number));
            request(bodies.get(number), 400 * KILOBYTE, "granted" + number);
        }
        Assert.assertEquals(events, List.of());
        bodies.get(0).close();
        Assert.assertEquals(events, List.of());
        bodies.get(1).close();
        Assert.assertEquals(events.size() + account.waitingCount(), 0);
    }

    @Test
    public void waitingBodiesAreReadInTheirOrder() {
        Share first = open(MemoryUse.REQUEST_BODY, "first");
        request(first, MAX_BYTES / 2, "first");
        request(open(MemoryUse.REQUEST_BODY, "second"), MAX_BYTES / 4, "second");
        request(open(MemoryUse.REQUEST_BODY, "third"), MAX_BYTES / 4, "third");
        request(open(MemoryUse.REQUEST_BODY, "fourth"), 20 * KILOBYTE, "fourth");
        Assert.assertEquals(events, List.of());
        first.close();
        Assert.assertEquals(events, List.of("second", "third"));
    }

    @Test
    public void responsesWaitWhileSlowCallersHoldOthersAndNoneIsGivenUp() {
        List<Share> unread = new ArrayList<>();
        int begun = 0;
        for (int number = 0; number < 150; number++) {
            Share response = open(MemoryUse.RESPONSE, "lost");
            if (!request(response, 1_000 * KILOBYTE, "granted")) {
                continue;
            }
            begun++;
            Share kept = open(MemoryUse.UNREAD, "cut");
            account.changeTogether(() -> {
                response.close();
                kept.set(1_000 * KILOBYTE);
            });
            unread.add(kept);
        }
        Assert.assertTrue(begun >= 30, "begun: " + begun);
        Assert.assertTrue(account.peakBytes() <= MAX_BYTES);
        Assert.assertEquals(events, List.of());
        Assert.assertTrue(request(open(MemoryUse.RESPONSE, "small"), SMALL));
        unread.forEach(Share::close);
        Assert.assertFalse(events.contains("lost") || events.contains("cut"), events.toString());
        Assert.assertTrue(events.contains("granted"));
    }

    @Test
    public void whereAllResponsesWaitForOneAnotherTheLargestIsGivenUp() {
        List<Share> responses = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            responses.add(open(MemoryUse.RESPONSE, "lost" + number));
            request(responses.get(number), 5_000 * KILOBYTE + number);
        }
        for (int number = 0; number < 6; number++) {
            request(responses.get(number), 10_000 * KILOBYTE, "granted" + number);
        }
        Assert.assertEquals(events, List.of("lost5"));
        responses.get(5).close();
        Assert.assertEquals(events, List.of("lost5", "granted0"));
    }

    @Test
    public void whatCannotWaitGivesUpTheLargestBeyondTheBound() {
        Share small = open(MemoryUse.UNREAD, "small");
        Share large = open(MemoryUse.UNREAD, "large");
        small.set(1_000 * KILOBYTE);
        large.set(20_000 * KILOBYTE);
        open(MemoryUse.OWN_CALL, "own").set(MAX_BYTES / 2);
        Assert.assertEquals(events, List.of("large"));
    }

    @Test
    public void theSumStaysWithinTheBoundAndEndsAtZeroOverRandomCourses() {
        Random random = new Random(5);
        for (int course = 0; course < 200; course++) {
            account = MemoryAccount.bounded(MAX_BYTES);
            List<Share> shares = new ArrayList<>();
            for (int step = 0; step < 300; step++) {
                if (shares.isEmpty() || random.nextInt(3) > 0) {
                    MemoryUse use = random.nextBoolean() ? MemoryUse.REQUEST_BODY : MemoryUse.RESPONSE;
                    Share share = open(use, "given up");
                    share.request(1 + random.nextInt(4_000_000), () -> {});
                    shares.add(share);
                } else {
                    shares.remove(random.nextInt(shares.size())).close();
                }
                Assert.assertTrue(account.retainedBytes() <= MAX_BYTES);
            }
            shares.forEach(Share::close);
            Assert.assertEquals(account.retainedBytes(), 0);
            Assert.assertEquals(account.waitingCount(), 0);
        }
    }

    private Share open(MemoryUse use, String name) {
        return account.open(use, () -> events.add(name));
    }

    private boolean request(Share share, long bytes) {
        return share.request(bytes, () -> {});
    }

    private boolean request(Share share, long bytes, String granted) {
        return share.request(bytes, () -> events.add(granted));
    }
}
