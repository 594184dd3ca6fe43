package org.verbenatray.platform;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.duties.DutyHolder;
import org.verbenatray.duties.DutyOutcome;
import org.verbenatray.duties.UsageReport;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.log.LogUnavailableException;
import org.verbenatray.relay.RelayMetrics;

/** Answers of the platform that break the grammar of HTTP: nothing is taken from them, and a call may have acted. */
public final class BrokenPlatformAnswerTest extends EventLoopTest {
    @DataProvider
    public Object[] answers() {
        return BrokenAnswer.values();
    }

    @Test(dataProvider = "answers")
    public void theStoreCountsAsUnavailable(BrokenAnswer answer) throws Exception {
        try (ScriptedServer server = ScriptedServer.start(answer.script(true))) {
            StoreClient store = StoreClient.create(loop(), addressOf(server), RelayMetrics.create());
            byte[] content = "record".getBytes(StandardCharsets.US_ASCII);
            assertUnavailable(store.keyedTopic("keyed.x").newestRecords(Optional.empty()));
            assertUnavailable(store.keyedTopic("keyed.x").changes(0, 0));
            assertUnavailable(
                    store.keyedTopic("keyed.x").putAll(List.of(new KeyedLog.Entry("a", Optional.of(content)))));
            assertUnavailable(store.plainTopic("x").read(0, 0));
            assertUnavailable(store.plainTopic("x").append(content));
            assertUnavailable(store.plainTopic("x").appendAt(0, List.of(content)));
        }
    }

    @Test(dataProvider = "answers")
    public void theOutcomeOfADutyIsUnknown(BrokenAnswer answer) throws Exception {
        try (ScriptedServer server = ScriptedServer.start(answer.script(true))) {
            PlatformApiClient api = PlatformApiClient.create(loop(), addressOf(server), RelayMetrics.create());
            DutyOutcome outcome = api.reportUsage(new DutyHolder("m1", 1), new UsageReport(1, new TreeMap<>()))
                    .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            Assert.assertEquals(outcome, DutyOutcome.UNKNOWN);
        }
    }

    private static URI addressOf(ScriptedServer server) {
        return URI.create("http://" + server.address());
    }

    private static void assertUnavailable(CompletableFuture<?> call) throws Exception {
        try {
            Assert.fail("the call has brought " + call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } catch (ExecutionException e) {
            Assert.assertTrue(
                    e.getCause() instanceof LogUnavailableException,
                    e.getCause().toString());
        }
    }
}
