package org.verbenatray.servers;

/** Which connection an exchange may travel on. */
public enum ConnectionUse {
    /** A new connection, so that no byte of the call can be lost on one that the server had closed. */
    FRESH,
    /** Any idle connection of the pool; a broken one fails the exchange. */
    POOLED,
    /** Any idle connection; a GET that finds it closed is sent once more on a new one. */
    POOLED_RESENDING
}
