package org.verbenatray.platform;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/** A relay instance with two decode engines that serve requests for a generation as scripts define. */
final class EnginePair implements AutoCloseable {
    private final List<ScriptedServer> engines = new ArrayList<>();

    private final RelayFixture relay;

    private EnginePair(IntFunction<Script> generation) throws Exception {
        for (int number = 0; number < 2; number++) {
            engines.add(ScriptedServer.start(withReport(generation.apply(number))));
        }
        relay = RelayFixture.startReady(
                ServerListing.engine("e0", "decode", engines.get(0)),
                ServerListing.engine("e1", "decode", engines.get(1)));
    }

    /** Starts the engines, each with the script of its number, and the instance, and waits until it is ready. */
    static EnginePair start(IntFunction<Script> generation) throws Exception {
        return new EnginePair(generation);
    }

    /** Sends a request for a generation, on a route whose streams may be resumed, and returns its connection. */
    Socket open(String id, String headers) throws IOException {
        Socket caller = relay.connect();
        RelayFixture.send(caller, RelayFixture.postRequest("/resume/x", id, headers, "p"));
        return caller;
    }

    @Override
    public void close() throws IOException {
        relay.close();
        for (ScriptedServer engine : engines) {
            engine.close();
        }
    }

    /** Returns a script that answers polls with the report of an engine, and other requests as the given one. */
    private static Script withReport(Script generation) {
        return (request, connection, out) -> {
            if (request.line().startsWith("GET")) {
                out.write(ScriptedServer.response(request, 200, "", "{\"stage\":\"decode\",\"seq\":0}"));
            } else {
                generation.serve(request, connection, out);
            }
        };
    }
}
