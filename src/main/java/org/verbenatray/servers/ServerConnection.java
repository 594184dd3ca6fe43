package org.verbenatray.servers;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * An open connection to a server.
 *
 * @param client the connection
 * @param socket the connection below it
 * @param source its incoming bytes
 * @param carriedIds the ids of the last requests, oldest first
 */
record ServerConnection(
        ClientConnection client, StreamConnection socket, ResponseSource source, Deque<String> carriedIds) {
    /** The number of requests that a connection remembers. */
    private static final int MAX_CARRIED_IDS = 32;

    /** Returns a connection that has carried no request. */
    static ServerConnection of(ClientConnection client, StreamConnection socket, ResponseSource source) {
        return new ServerConnection(client, socket, source, new ArrayDeque<>());
    }

    /** Records that the connection carries a request with the given id. */
    void recordCarried(String requestId) {
        if (carriedIds.size() == MAX_CARRIED_IDS) {
            carriedIds.removeFirst();
        }
        carriedIds.addLast(requestId);
    }

    /** Returns whether the connection has lately carried a request with the given id. */
    boolean hasCarried(String requestId) {
        return carriedIds.contains(requestId);
    }

    /** Returns whether the connection is open and the server has sent nothing unasked as far as was read. */
    boolean isOpen() {
        return client.isOpen() && !source.hasExcess();
    }

    /** Returns whether the connection is open and the server has neither closed it nor sent anything unasked. */
    boolean isQuiet() {
        try {
            return isOpen() && socket.getSourceChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Resets the connection, so that what has not arrived is not delivered: a close would reach the server only behind
     * all bytes of the request.
     */
    void abort() {
        try {
            socket.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException e) {
            // The connection is closed already.
        }
        close();
    }

    /**
     * Closes the connection in both directions at once and ignores errors. The client itself would close only the
     * sending half and wait for the server, which continues a request until both halves are closed.
     */
    void close() {
        source.end();
        IoUtils.safeClose(socket);
    }
}
