package org.verbenatray.openwork;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Notices that are sent in several datagrams. */
public final class PartedNoticeTest {
    @Test
    public void theLastPartCompletesANoticeInAnyOrder() throws IOException {
        byte[] notice = randomBytes(20_000);
        List<byte[]> parts = PartedNotice.split(notice);
        Assert.assertTrue(parts.size() > 1);
        PartedNotice receiver = PartedNotice.receiver();
        for (int number = parts.size() - 1; number > 0; number--) {
            Assert.assertEquals(receiver.receive(parts.get(number)), Optional.empty());
            Assert.assertEquals(receiver.receive(parts.get(number)), Optional.empty());
        }
        Assert.assertEquals(receiver.receive(parts.get(0)).orElseThrow(), notice);
    }

    @Test
    public void aLostPartIsMadeUpForWhenTheNoticeIsRepeated() throws IOException {
        List<byte[]> parts = PartedNotice.split(randomBytes(20_000));
        PartedNotice receiver = PartedNotice.receiver();
        for (byte[] part : parts.subList(1, parts.size())) {
            receiver.receive(part);
        }
        Assert.assertTrue(receiver.receive(parts.get(0)).isPresent());
    }

    @Test
    public void aNoticeThatIsTooLargeHasNoParts() {
        Assert.assertEquals(PartedNotice.split(randomBytes(200_000)), List.of());
    }

    @Test
    public void aMalformedPartIsRejectedAndLaterNoticesArrive() throws IOException {
        PartedNotice receiver = PartedNotice.receiver();
        byte[] broken = PartedNotice.split("text".getBytes()).get(0).clone();
        broken[5] ^= 0x55;
        Assert.assertThrows(IOException.class, () -> receiver.receive(broken));
        Assert.assertTrue(
                receiver.receive(PartedNotice.split("text".getBytes()).get(0)).isPresent());
    }

    private static byte[] randomBytes(int length) {
        byte[] bytes = new byte[length];
        new Random(7).nextBytes(bytes);
        return bytes;
    }
}
