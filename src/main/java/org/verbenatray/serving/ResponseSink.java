package org.verbenatray.serving;

import java.util.List;

/** Receives the response to one request; the last call is either {@link #onComplete} or {@link #onFailure}. */
interface ResponseSink {
    /** Receives the next generated tokens. */
    void onTokens(List<String> tokens);

    /** Receives the end of a complete response, with the reason why the generation ended and the number of tokens. */
    void onComplete(String finishReason, int outputTokens);

    /** Receives the refusal that ends the request without a complete response. */
    void onFailure(Refusal refusal);
}
