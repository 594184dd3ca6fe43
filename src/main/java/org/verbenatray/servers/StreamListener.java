package org.verbenatray.servers;

/** Receives the lines of one engine response, on one thread. No call follows {@link #onEnd} or {@link #onFailure}. */
public interface StreamListener {
    /** Receives a line of the response. */
    void onChunk(EngineChunk chunk);

    /** Called at the end of the response, whether or not the response is complete. */
    void onEnd();

    /** Called if the exchange fails or the engine rejects the request. */
    void onFailure(ServerFailure failure);
}
