package org.verbenatray.platform;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.instance.EventLoop;
import org.verbenatray.memory.MemoryAccount;
import org.verbenatray.platform.EndlessAnswer.EndlessScript;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.time.Ticker;

/** Many answers without end at once, from several servers, beside ordinary requests. */
public final class EndlessSumTest {
    private static final int ANSWERS = 20;

    private static final int SERVERS = 5;

    /** The bound of the account, a quarter of a heap of 96 MiB. */
    private static final long MAX_BYTES = 24L * 1024 * 1024;

    /** The bytes that responses may take beyond the bound until the largest is freed: one turn of every connection. */
    private static final long MAX_OVERSHOOT_BYTES = 2L * 1024 * 1024;

    /** The kinds of answers, which the requests get in turn. */
    private static final List<EndlessAnswer> KINDS = List.of(
            EndlessAnswer.LENGTH_BODY,
            EndlessAnswer.BODY_WITHOUT_LENGTH,
            EndlessAnswer.HEADER_LINE,
            EndlessAnswer.CHUNK_EXTENSION);

    @Test
    public void theSumIsBoundedAndOrdinaryRequestsAreServed() throws Exception {
        List<EndlessScript> scripts = KINDS.stream().map(EndlessAnswer::script).toList();
        Script together = allAtOnce(scripts);
        List<ScriptedServer> servers = new ArrayList<>();
        List<ServerListing> listings = new ArrayList<>();
        for (int index = 0; index < SERVERS; index++) {
            servers.add(ScriptedServer.start(together));
            listings.add(ServerListing.plain("s" + index, servers.get(index)));
        }
        ExecutorService callers = Executors.newFixedThreadPool(ANSWERS);
        try (ScriptedServer engine = ScriptedServer.start(EndlessRelayTest.completeStream())) {
            listings.add(ServerListing.engine("e1", "decode", engine));
            MemoryAccount memory = MemoryAccount.bounded(MAX_BYTES);
            EventLoop loop = EventLoop.start(Ticker.system(), memory, HttpTransport.ADMISSION_MILLIS);
            try (RelayFixture relay = RelayFixture.startReady(loop, listings.toArray(ServerListing[]::new))) {
                List<CompletableFuture<String>> answers = startAnswers(relay, callers);
                do {
                    String ordinary = relay.exchange(RelayFixture.postRequest("/stream/x", "id-x", "", "p"));
                    Assert.assertTrue(ordinary.startsWith("HTTP/1.1 200") && ordinary.endsWith("0\r\n\r\n"), ordinary);
                } while (!answers.stream().allMatch(CompletableFuture::isDone));
                for (CompletableFuture<String> answer : answers) {
                    Assert.assertTrue(
                            answer.get().startsWith("HTTP/1.1 502")
                                    || answer.get().startsWith("HTTP/1.1 504"),
                            answer.get());
                }
                Assert.assertEquals(
                        scripts.stream().mapToInt(EndlessScript::started).sum(), ANSWERS);
                relay.await(() ->
                        scripts.stream().mapToInt(EndlessScript::closedByPeer).sum() == ANSWERS);
                relay.await(() -> memory.retainedBytes() == 0);
                Assert.assertTrue(
                        memory.peakBytes() > MAX_BYTES / 2 && memory.peakBytes() < MAX_BYTES + MAX_OVERSHOOT_BYTES,
                        "peak: " + memory.peakBytes());
            }
        } finally {
            callers.shutdownNow();
            for (ScriptedServer server : servers) {
                server.close();
            }
        }
    }

    @Test
    public void ordinaryRequestsAreServedBesideManyStreamsOfTinyEvents() throws Exception {
        EndlessScript script = EndlessAnswer.TINY_EVENTS.script();
        Script first = (request, connection, out) -> {
            if (request.header("request-id").equals("endless")) {
                script.serve(request, connection, out);
            } else if (EndlessRelayTest.isReport(request)) {
                out.write(ScriptedServer.okResponse(request, "{}"));
            } else {
                EndlessRelayTest.completeStream().serve(request, connection, out);
            }
        };
        List<Socket> callers = new ArrayList<>();
        try (ScriptedServer engine = ScriptedServer.start(first);
                RelayFixture relay = RelayFixture.startReady(ServerListing.engine("e1", "decode", engine))) {
            for (int index = 0; index < ANSWERS; index++) {
                callers.add(relay.connect());
                RelayFixture.send(callers.get(index), RelayFixture.postRequest("/stream/x", "endless", "", "p"));
            }
            do {
                String ordinary = relay.exchange(RelayFixture.postRequest("/stream/x", "id-x", "", "p"));
                Assert.assertTrue(ordinary.startsWith("HTTP/1.1 200") && ordinary.endsWith("0\r\n\r\n"), ordinary);
            } while (script.closedByPeer() < ANSWERS);
        } finally {
            for (Socket caller : callers) {
                caller.close();
            }
        }
    }

    /** Returns a script that starts to answer with the given scripts when all requests have arrived. */
    private static Script allAtOnce(List<EndlessScript> scripts) {
        CountDownLatch allStarted = new CountDownLatch(ANSWERS);
        return (request, connection, out) -> {
            if (request.line().startsWith("POST")) {
                allStarted.countDown();
                awaitAll(allStarted);
                scripts.get(Integer.parseInt(request.header("request-id")) % KINDS.size())
                        .serve(request, connection, out);
            } else {
                out.write(ScriptedServer.okResponse(request, "{}"));
            }
        };
    }

    private static List<CompletableFuture<String>> startAnswers(RelayFixture relay, ExecutorService callers) {
        List<CompletableFuture<String>> answers = new ArrayList<>();
        for (int index = 0; index < ANSWERS; index++) {
            String request = RelayFixture.postRequest("/unsafe/x", String.valueOf(index), "", "b");
            answers.add(CompletableFuture.supplyAsync(
                    () -> {
                        try {
                            return relay.exchange(request);
                        } catch (IOException e) {
                            return e.toString();
                        }
                    },
                    callers));
        }
        return answers;
    }

    private static void awaitAll(CountDownLatch latch) {
        try {
            latch.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
