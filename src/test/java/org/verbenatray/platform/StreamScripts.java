package org.verbenatray.platform;

import java.nio.charset.StandardCharsets;
import org.verbenatray.platform.ScriptedServer.Script;

/** Scripts of engines that stream events, whole or not. */
final class StreamScripts {
    private StreamScripts() {}

    /** Returns the script of an engine that sends the given events, or none, and a whole end. */
    static Script whole(String events) {
        return (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            if (!events.isEmpty()) {
                out.write(ScriptedServer.chunk(events));
            }
            out.write(ScriptedServer.lastChunk());
        };
    }

    /** Returns the script of an engine that breaks off behind the given events. */
    static Script brokenOff(String events) {
        return brokenOff(events, "");
    }

    /** Returns the script of an engine that breaks off behind the given events and further bytes of its framing. */
    static Script brokenOff(String events, String framing) {
        return (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.chunk(events));
            out.write(framing.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            connection.close();
        };
    }

    /** Returns the script of an engine that sends the head of a stream, and then ends the connection as its end. */
    static Script headAndEndOfConnection() {
        return (request, connection, out) -> {
            out.write(ScriptedServer.streamHeadWithoutLength(request));
            out.flush();
            connection.close();
        };
    }
}
