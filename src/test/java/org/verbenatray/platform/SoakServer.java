package org.verbenatray.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;

/**
 * A backend server of a soak that ends when it runs a crashing request, and starts again at its address.
 *
 * <p>It registers in the store as a server does: its entry expires some time after its end, and no entry is written
 * while the store is away.
 */
final class SoakServer implements AutoCloseable {
    /** Three heartbeat intervals, after which the store removes the entry of a silent server. */
    private static final long EXPIRY_MILLIS = 3_600;

    private static final long RETRY_MILLIS = 100;

    private static final long WORK_MILLIS = 15;

    private final String name;
    private final String stage;
    private final SoakStore store;
    private final ScheduledExecutorService timers;
    private final Random random;

    /** Receives the body of each crashing request that arrives, and whether it ended the server. */
    private final BiConsumer<Request, Boolean> onCrashingRequest;

    private ScriptedServer process;
    private ServerListing listing;
    private int starts;
    private boolean down;

    private SoakServer(
            String name,
            String stage,
            SoakStore store,
            ScheduledExecutorService timers,
            Random random,
            BiConsumer<Request, Boolean> onCrashingRequest) {
        this.name = name;
        this.stage = stage;
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.onCrashingRequest = onCrashingRequest;
    }

    /** Starts a server; an empty stage makes it a plain one. */
    static SoakServer start(
            String name,
            String stage,
            SoakStore store,
            ScheduledExecutorService timers,
            Random random,
            BiConsumer<Request, Boolean> onCrashingRequest)
            throws IOException {
        SoakServer server = new SoakServer(name, stage, store, timers, random, onCrashingRequest);
        server.boot(0);
        return server;
    }

    /** How a server ends. */
    enum Ending {
        /** All connections are reset. */
        RESET,
        /** All connections are closed, as by the operating system after a process has ended. */
        CLOSED,
        /** All connections stay open and silent. */
        DARK
    }

    /** Ends the server in the given way. */
    synchronized void end(Ending ending) {
        if (down) {
            return;
        }
        down = true;
        ServerListing ended = listing;
        ScriptedServer endedProcess = process;
        int port = endedProcess.port();
        long pauseMillis = 1_500 + random.nextInt(2_500);
        switch (ending) {
            case DARK -> endedProcess.setScript((request, connection, out) -> {});
            case CLOSED -> closeQuietly(endedProcess);
            case RESET -> crashQuietly(endedProcess);
        }
        timers.schedule(() -> expire(ended), EXPIRY_MILLIS, TimeUnit.MILLISECONDS);
        timers.schedule(() -> restart(endedProcess, port), pauseMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public synchronized void close() throws IOException {
        down = true;
        process.close();
    }

    private synchronized void restart(ScriptedServer ended, int port) {
        crashQuietly(ended);
        try {
            boot(port);
        } catch (IOException e) {
            timers.schedule(() -> restart(ended, port), RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Starts the process on a port, zero for one that the OS chooses, mostly under a new id. */
    private synchronized void boot(int port) throws IOException {
        process = port == 0 ? ScriptedServer.start(this::serve) : ScriptedServer.startAt(port, this::serve);
        starts++;
        boolean sameId = listing != null && random.nextInt(3) == 0;
        String id = sameId ? listing.id() : name + "-" + starts;
        listing = new ServerListing(id, stage.isEmpty() ? "plain" : "engines", process.address(), stage, starts);
        down = false;
        register(listing);
    }

    private void register(ServerListing entry) {
        if (!store.put(entry.id(), entry.entryJson("ready", 1))) {
            timers.schedule(() -> register(entry), RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void expire(ServerListing ended) {
        if (ended.id().equals(listing.id()) && !down) {
            return;
        }
        if (!store.put(ended.id(), null)) {
            timers.schedule(() -> expire(ended), RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void serve(Request request, Socket connection, OutputStream out) throws IOException {
        if (request.line().startsWith("GET /report")) {
            out.write(ScriptedServer.response(request, 200, "", "{\"stage\":\"" + stage + "\",\"seq\":0}"));
            return;
        }
        if (request.line().startsWith("GET /kv-events")) {
            out.write(ScriptedServer.response(request, 200, "", "{\"epoch\":1,\"next\":0,\"events\":[]}"));
            return;
        }
        if (!request.header("expect-instance").equals(listing.id())) {
            out.write(ScriptedServer.response(request, 421, "", ""));
            return;
        }
        sleepWhileWorking();
        if (request.body().startsWith("poison")) {
            runCrashing(request, out);
            return;
        }
        if (stage.isEmpty()) {
            out.write(ScriptedServer.okResponse(request, "done"));
        } else {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "done"));
            out.write(ScriptedServer.lastChunk());
        }
    }

    /** Ends the server as the body of the request says, before the response or after its head. */
    private void runCrashing(Request request, OutputStream out) throws IOException {
        boolean ends;
        synchronized (this) {
            ends = !down;
        }
        onCrashingRequest.accept(request, ends);
        if (request.body().contains("head")) {
            out.write(ScriptedServer.streamHead(request));
        } else if (request.body().contains("unframed")) {
            out.write(ScriptedServer.headWithoutLength(request));
        }
        out.flush();
        end(endingOf(request.body()));
    }

    private Ending endingOf(String body) {
        if (body.contains("dark") || body.contains("mixed") && random.nextInt(3) == 0) {
            return Ending.DARK;
        }
        return body.contains("unframed") ? Ending.CLOSED : Ending.RESET;
    }

    private static void sleepWhileWorking() {
        try {
            TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void closeQuietly(ScriptedServer ended) {
        try {
            ended.close();
        } catch (IOException e) {
            throw new IllegalStateException("the sockets of an ended server cannot be closed", e);
        }
    }

    private static void crashQuietly(ScriptedServer ended) {
        try {
            ended.crash();
        } catch (IOException e) {
            throw new IllegalStateException("the sockets of an ended server cannot be closed", e);
        }
    }

    /** The store as a backend server reaches it. */
    @FunctionalInterface
    interface SoakStore {
        /** Writes an entry, or deletes it if the value is null; returns false while the store is away. */
        boolean put(String id, String value);
    }
}
