package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;

/** Calls that servers hold in different steps until the test releases them all. */
final class HeldCalls implements AutoCloseable {
    /** Headers of a generation with a short prompt, without the headers that plan its prefill. */
    private static final String NO_PLAN = "";

    /** Headers of a generation with a long prompt, which a prefill engine processes first. */
    private static final String LONG_PROMPT = "Token-Count: 9000,5\r\nPrompt-Prefix: ab:8000,cd:1000\r\n";

    /** The calls by path, with the extra headers of each. */
    private static final Map<String, String> HEADERS_BY_PATH = Map.of(
            "/safe/held", NO_PLAN,
            "/unsafe/held", NO_PLAN,
            "/safe/failing", NO_PLAN,
            "/stream/silent", NO_PLAN,
            "/stream/begun", NO_PLAN,
            "/resume/broken", NO_PLAN,
            "/stream/prefilled", LONG_PROMPT);

    private final CountDownLatch released = new CountDownLatch(1);

    /** The paths whose first attempt was received. */
    private final Set<String> receivedPaths = ConcurrentHashMap.newKeySet();

    private final List<ScriptedServer> servers = new ArrayList<>();

    private final Map<String, Socket> sockets = new TreeMap<>();

    private HeldCalls() throws IOException {
        for (int server = 0; server < 5; server++) {
            servers.add(ScriptedServer.start(this::serve));
        }
    }

    /** Starts the servers. */
    static HeldCalls startServers() throws IOException {
        return new HeldCalls();
    }

    /** Returns the servers: two plain ones, one prefill engine and two decode engines. */
    ServerListing[] listings() {
        return new ServerListing[] {
            ServerListing.plain("s1", servers.get(0)),
            ServerListing.plain("s2", servers.get(1)),
            ServerListing.engine("e1", "prefill", servers.get(2)),
            ServerListing.engine("e2", "decode", servers.get(3)),
            ServerListing.engine("e3", "decode", servers.get(4))
        };
    }

    /** Sends all calls and waits until a server holds each. */
    void sendTo(RelayFixture relay) throws Exception {
        for (Map.Entry<String, String> call : HEADERS_BY_PATH.entrySet()) {
            Socket socket = relay.connect();
            sockets.put(call.getKey(), socket);
            RelayFixture.send(
                    socket, RelayFixture.postRequest(call.getKey(), "id" + call.getKey(), call.getValue(), "b"));
        }
        relay.await(() -> receivedPaths.size() == HEADERS_BY_PATH.size());
    }

    /** Lets the servers go on and returns the response of each call by its path. */
    Map<String, String> releaseAndRead() throws IOException {
        released.countDown();
        Map<String, String> responses = new TreeMap<>();
        for (Map.Entry<String, Socket> call : sockets.entrySet()) {
            InputStream in = new BufferedInputStream(call.getValue().getInputStream());
            responses.put(call.getKey(), RelayFixture.readResponse(in));
        }
        return responses;
    }

    /** Returns the requests with the given method that the servers received. */
    List<Request> received(String method) {
        return servers.stream()
                .flatMap(server -> server.requests().stream())
                .filter(request -> request.line().startsWith(method + " "))
                .toList();
    }

    private void serve(Request request, Socket connection, OutputStream out) throws IOException {
        String path = request.line().split(" ")[1];
        if (!HEADERS_BY_PATH.containsKey(path)) {
            out.write(ScriptedServer.response(request, 404, "", ""));
            return;
        }
        boolean first = receivedPaths.add(path);
        switch (path) {
            case "/safe/failing" -> {
                hold();
                out.write(
                        first
                                ? ScriptedServer.response(request, 500, "Server-Stamp: mark\r\n", "failed")
                                : ScriptedServer.okResponse(request, "whole"));
            }
            case "/stream/prefilled" -> servePrefilled(request, out);
            case "/resume/broken" -> serveBroken(request, connection, out);
            case "/stream/silent", "/stream/begun" -> serveStream(request, out, path.endsWith("begun"));
            default -> {
                hold();
                out.write(ScriptedServer.okResponse(request, "whole"));
            }
        }
    }

    /** Holds a prefill; sends a whole stream for the decode that follows. */
    private void servePrefilled(Request request, OutputStream out) throws IOException {
        if (request.header("serving-stage").equals("prefill")) {
            hold();
            out.write(ScriptedServer.response(request, 200, "", "{\"kvHandle\":\"h1\",\"tokens\":9000}"));
            return;
        }
        serveStream(request, out, false);
    }

    /** Breaks a stream off after its first event; sends the second to a request for the rest. */
    private void serveBroken(Request request, Socket connection, OutputStream out) throws IOException {
        out.write(ScriptedServer.streamHead(request));
        if (request.header("last-event-id").isEmpty()) {
            out.write(ScriptedServer.eventChunk(1, "a"));
            out.flush();
            hold();
            connection.close();
            return;
        }
        out.write(ScriptedServer.eventChunk(2, "b"));
        out.write(ScriptedServer.lastChunk());
    }

    /** Holds a stream, after its first event if it begins at once. */
    private void serveStream(Request request, OutputStream out, boolean beginsAtOnce) throws IOException {
        if (!beginsAtOnce) {
            hold();
        }
        out.write(ScriptedServer.streamHead(request));
        out.write(ScriptedServer.eventChunk(1, "a"));
        out.flush();
        hold();
        out.write(ScriptedServer.eventChunk(2, "b"));
        out.write(ScriptedServer.lastChunk());
    }

    private void hold() {
        try {
            released.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        released.countDown();
        for (Socket socket : sockets.values()) {
            socket.close();
        }
        for (ScriptedServer server : servers) {
            server.close();
        }
    }
}
