package org.verbenatray.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import org.verbenatray.platform.ScriptedServer.Request;

/**
 * An engine as a process of its own, which ends when it begins to answer a request with a certain part in its prompt.
 * Its answers have neither a length nor chunks, so that the operating system ends a cut one like a whole one.
 */
final class EndingEngine {
    /** The id of the part that ends the process. */
    static final String DEADLY_PART = "bad";

    private EndingEngine() {}

    /** Starts the engine and prints its address. */
    public static void main(String[] args) throws IOException, InterruptedException {
        ScriptedServer server = ScriptedServer.start(EndingEngine::serve);
        System.out.println("engine=" + server.address());
        Thread.currentThread().join();
    }

    private static void serve(Request request, Socket connection, OutputStream out) throws IOException {
        if (request.line().startsWith("GET")) {
            out.write(ScriptedServer.response(request, 200, "", "{\"stage\":\"decode\",\"running\":0,\"seq\":0}"));
            return;
        }
        out.write(ScriptedServer.streamHeadWithoutLength(request));
        out.write(ScriptedServer.event(1, "begun"));
        out.flush();
        if (request.header("prompt-prefix").contains(DEADLY_PART + ":")) {
            Runtime.getRuntime().halt(1);
        }
        out.write(ScriptedServer.event(2, "done"));
        out.flush();
        connection.close();
    }
}
