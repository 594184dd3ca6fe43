package org.verbenatray.serving;

import java.util.List;

/** Receives the answer to one request; exactly one of {@code end} and {@code fail} is the last call. */
interface AnswerSink {
    /** Receives the next tokens. */
    void tokens(List<String> tokens);

    /** Receives the end of a whole answer. */
    void end(String finish, int outputTokens);

    /** Receives the final answer in place of a whole one. */
    void fail(Refusal refusal);
}
