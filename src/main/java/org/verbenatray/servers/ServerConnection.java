package org.verbenatray.servers;

import io.undertow.client.ClientConnection;
import java.io.IOException;

/**
 * An open connection to a server.
 *
 * @param client the connection
 * @param source its incoming bytes
 */
record ServerConnection(ClientConnection client, BoundedSource source) {
    /** Returns whether the connection is open. */
    boolean isOpen() {
        return client.isOpen();
    }

    /** Closes the connection in both directions, whatever the server still sends, and ignores errors. */
    void close() {
        source.end();
        try {
            client.close();
        } catch (IOException e) {
            // The connection is discarded in any case.
        }
    }
}
