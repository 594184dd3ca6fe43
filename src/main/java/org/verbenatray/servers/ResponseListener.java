package org.verbenatray.servers;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Receives one HTTP response in parts, on one thread. No call follows {@link #onEnd} or {@link #onFailure}. */
public interface ResponseListener {
    /** Called before the request is written. From here on the server may receive it. Called again on a retry. */
    default void onSending() {}

    /** Receives the status and all headers. By default passes the first value of each header on. */
    default void onHead(ResponseHead head) {
        Map<String, String> first = new HashMap<>();
        head.headers()
                .forEach(values ->
                        first.put(values.getHeaderName().toString().toLowerCase(Locale.ROOT), values.getFirst()));
        onHead(head.status(), first);
    }

    /** Receives the status and the first value of each header by lower-case name. */
    default void onHead(int status, Map<String, String> headers) {}

    /**
     * Returns whether the body is read on; asked before each read. After false nothing is read until the task is run,
     * on the same thread.
     */
    default boolean readsOn(Runnable resume) {
        return true;
    }

    /** Receives a part of the body; the buffer is valid only during the call. */
    void onBody(ByteBuffer part);

    /** Called after the complete response. */
    void onEnd();

    /** Called if the exchange fails. */
    void onFailure(ServerFailure failure);
}
