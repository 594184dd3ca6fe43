package org.verbenatray.servers;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * An open connection to a server.
 *
 * @param client the connection
 * @param socket the connection below it
 * @param source its incoming bytes
 */
record ServerConnection(ClientConnection client, StreamConnection socket, BoundedSource source) {
    /** Returns whether the connection is open. */
    boolean isOpen() {
        return client.isOpen();
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
     * Closes the connection in both directions at once and ignores errors. The client itself would close only the
     * sending half and wait for the server, which continues a request until both halves are closed.
     */
    void close() {
        source.end();
        IoUtils.safeClose(socket);
    }
}
