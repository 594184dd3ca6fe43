package org.verbenatray.serving;

import org.verbenatray.servers.ServerFailure;

/** One engine chosen for one dispatch, and what becomes known of it. */
interface EngineSlot {
    /** Returns the engine's name. */
    String engine();

    /** Returns the engine's base URI. */
    String address();

    /** Tells that the first token came. */
    void firstToken();

    /** Tells that the dispatch ended whole or was given up. */
    void ended();

    /** Tells that the dispatch failed. */
    void failed(ServerFailure failure);
}
