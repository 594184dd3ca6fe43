package org.verbenatray.platform;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.EndlessAnswer.EndlessScript;
import org.verbenatray.servers.EngineChunk;
import org.verbenatray.servers.HttpEngineClient;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.servers.StreamListener;

/** Answers without end to the product's own client of engines. */
public final class EndlessEngineTest extends EventLoopTest {
    /** Answers of status 200 whose lines never end or are no chunks, and refusals of short lines. */
    @DataProvider
    public Object[] answers() {
        return new Object[] {
            EndlessAnswer.LENGTH_BODY,
            EndlessAnswer.BODY_WITHOUT_LENGTH,
            EndlessAnswer.CHUNKED_BODY,
            EndlessAnswer.HEADER_LINE,
            EndlessAnswer.CHUNK_EXTENSION,
            EndlessAnswer.EVENT,
            EndlessAnswer.REFUSAL
        };
    }

    @Test(dataProvider = "answers")
    public void anEndlessAnswerFailsOnceAndItsConnectionIsClosed(EndlessAnswer answer) throws Exception {
        EndlessScript script = answer.script();
        CompletableFuture<ServerFailure> failed = new CompletableFuture<>();
        try (ScriptedServer server = ScriptedServer.start(script)) {
            HttpEngineClient.create(loop().transport())
                    .resume("http://" + server.address(), "d1", 0, loop().thread(), listener(failed));
            Assert.assertEquals(failed.get(20, TimeUnit.SECONDS).kind(), ServerFailure.Kind.BAD_RESPONSE);
            RelayFixture.waitUntil(() -> script.closedByPeer() == 1);
            Assert.assertEquals(script.started(), 1);
        }
    }

    private static StreamListener listener(CompletableFuture<ServerFailure> failed) {
        return new StreamListener() {
            @Override
            public void onChunk(EngineChunk chunk) {}

            @Override
            public void onEnd() {}

            @Override
            public void onFailure(ServerFailure failure) {
                Assert.assertTrue(failed.complete(failure), "the listener must be called once");
            }
        };
    }
}
