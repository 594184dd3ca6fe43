package org.verbenatray.openwork;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.resilience.Crash;

/** Tests the encoding of notices. */
public final class WorkNoticeCodecTest {
    @Property(tries = 200, seed = "42")
    void aDecodedNoticeEqualsTheEncodedOne(
            @ForAll @AlphaChars String instance,
            @ForAll @LongRange(min = 0) long incarnation,
            @ForAll @Size(max = 20) List<@LongRange(min = 0) Long> micros)
            throws IOException {
        Map<String, EngineWork> engines = IntStream.range(0, micros.size())
                .boxed()
                .collect(Collectors.toMap(index -> "e" + index, index -> new EngineWork(micros.get(index), index, 3)));
        WorkNotice notice = new WorkNotice(
                instance,
                incarnation,
                7,
                engines,
                engines.keySet().stream().collect(Collectors.toMap(engine -> engine, engine -> (long) engine.length())),
                List.of(new PromptPlacement("e1", true, Map.of("ab", 13_000, "cd", 40))),
                List.of(new Crash("f", "s@1"), new Crash("g", "s@2")));
        Assert.assertEquals(WorkNoticeCodec.decode(WorkNoticeCodec.encode(notice)), notice);
    }

    /** A kind of datagram that a later version sends was logged as a malformed notice, each time. */
    @Test
    public void otherKindsOfDatagramsAreNoNotices() {
        WorkNotice notice = new WorkNotice("i1", 1, 1, Map.of(), Map.of(), List.of(), List.of());
        Assert.assertTrue(WorkNoticeCodec.recognizes(WorkNoticeCodec.encode(notice)));
        Assert.assertFalse(WorkNoticeCodec.recognizes(ReportNoticeCodec.encode("i1", List.of(), List.of())));
        Assert.assertFalse(WorkNoticeCodec.recognizes(new byte[] {(byte) 0x9a, 1}));
        Assert.assertFalse(WorkNoticeCodec.recognizes(new byte[0]));
    }

    @Test
    public void aTruncatedNoticeIsRejected() {
        byte[] whole = WorkNoticeCodec.encode(
                new WorkNotice("a", 1, 2, Map.of("e1", new EngineWork(1, 2, 3)), Map.of(), List.of(), List.of()));
        byte[] truncated = Arrays.copyOf(whole, whole.length - 1);
        Assert.assertThrows(IOException.class, () -> WorkNoticeCodec.decode(truncated));
    }
}
