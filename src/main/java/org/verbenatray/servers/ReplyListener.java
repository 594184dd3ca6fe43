package org.verbenatray.servers;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Receives one HTTP reply piece by piece on one thread; nothing follows an end or a failure. */
public interface ReplyListener {
    /** Hears that the request is about to be written: from here on the server may receive it. */
    default void onSending() {}

    /** Receives the status and all headers. */
    default void onHead(ReplyHead head) {
        Map<String, String> first = new HashMap<>();
        head.headers()
                .forEach(values ->
                        first.put(values.getHeaderName().toString().toLowerCase(Locale.ROOT), values.getFirst()));
        onHead(head.status(), first);
    }

    /** Receives the status and the first value of each header by lower-case name. */
    default void onHead(int status, Map<String, String> headers) {}

    /** Receives a piece of the body, which is only valid during the call. */
    void onBody(ByteBuffer piece);

    /** Receives the end of a complete reply. */
    void onEnd();

    /** Receives a failure. */
    void onFailure(ServerFailure failure);
}
