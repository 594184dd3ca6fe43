package org.verbenatray.servers;

/** Receives the lines of one reply; all calls come from one thread, and nothing follows an end or a failure. */
public interface StreamListener {
    /** Receives a line of the reply. */
    void onChunk(EngineChunk chunk);

    /** Receives the end of the connection's reply, whether or not the answer is whole. */
    void onEnd();

    /** Receives a failure. */
    void onFailure(ServerFailure failure);
}
