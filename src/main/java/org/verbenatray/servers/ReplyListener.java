package org.verbenatray.servers;

import java.nio.ByteBuffer;
import java.util.Map;

/** Receives one HTTP reply piece by piece on one thread; nothing follows an end or a failure. */
public interface ReplyListener {
    /** Receives the status and the headers by lower-case name. */
    void onHead(int status, Map<String, String> headers);

    /** Receives a piece of the body, which is only valid during the call. */
    void onBody(ByteBuffer piece);

    /** Receives the end of a complete reply. */
    void onEnd();

    /** Receives a failure. */
    void onFailure(ServerFailure failure);
}
