package org.verbenatray.explain;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Optional;
import org.verbenatray.telemetry.Event;

/** A step in the processing of a request; the JSON property {@code step} names its type. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "step")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Step.Admitted.class, name = "admitted"),
    @JsonSubTypes.Type(value = Step.Dispatched.class, name = "dispatched"),
    @JsonSubTypes.Type(value = Step.HeldBack.class, name = "held_back"),
    @JsonSubTypes.Type(value = Step.Recovered.class, name = "recovered"),
    @JsonSubTypes.Type(value = Step.EngineCrashed.class, name = "engine_crashed"),
    @JsonSubTypes.Type(value = Step.Reserving.class, name = "reserving"),
    @JsonSubTypes.Type(value = Step.Sent.class, name = "sent"),
    @JsonSubTypes.Type(value = Step.ServerFailed.class, name = "server_failed"),
    @JsonSubTypes.Type(value = Step.Ended.class, name = "ended")
})
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public sealed interface Step {
    /** Returns the step as key=value pairs. */
    Event event();

    /**
     * The request was admitted and may be dispatched.
     *
     * @param waitedMillis the time that the request waited for its admission, in milliseconds
     */
    record Admitted(long waitedMillis) implements Step {
        @Override
        public Event event() {
            return Event.named("admitted").with("waited_ms", waitedMillis);
        }
    }

    /**
     * The request, or the rest of it after a recovery, was sent to an engine.
     *
     * @param run the number of the dispatch, from 1
     * @param engine the engine that generates the tokens
     * @param prefillEngine the engine that does the prefill, where it is another one
     * @param firstTokenMillis the expected time to the first token in milliseconds
     * @param betweenTokensMillis the expected time between tokens in milliseconds
     * @param cachedTokens the number of prompt tokens expected in the engine's cache
     * @param alternatives the number of engines that were configured to generate the tokens
     * @param emittedTokens the number of tokens relayed to the caller before
     */
    record Dispatched(
            int run,
            String engine,
            Optional<String> prefillEngine,
            double firstTokenMillis,
            double betweenTokensMillis,
            int cachedTokens,
            int alternatives,
            int emittedTokens)
            implements Step {
        @Override
        public Event event() {
            return Event.named("dispatched")
                    .with("run", run)
                    .with("engine", engine)
                    .with("prefill_engine", prefillEngine.orElse("-"))
                    .with("expected_first_token_ms", tenths(firstTokenMillis))
                    .with("expected_between_tokens_ms", tenths(betweenTokensMillis))
                    .with("cached_tokens", cachedTokens)
                    .with("alternatives", alternatives)
                    .with("emitted_tokens", emittedTokens);
        }

        /** Formats a number with one decimal. */
        private static String tenths(double number) {
            return String.format(java.util.Locale.ROOT, "%.1f", number);
        }
    }

    /**
     * The request waits because it is suspected of crashing engines and no engine is free for an isolated run, or
     * because every engine that could take it is reserved for a suspected request.
     */
    record HeldBack() implements Step {
        @Override
        public Event event() {
            return Event.named("held_back").with("reason", "suspected of crashing engines");
        }
    }

    /**
     * The stream was resumed, or run again on another engine.
     *
     * @param kind {@code resumed} on the same engine, or {@code run_again} on another one
     * @param engine the engine on which the stream was interrupted
     * @param reason the reason of the recovery
     * @param emittedTokens the number of tokens relayed to the caller before
     */
    record Recovered(String kind, String engine, String reason, int emittedTokens) implements Step {
        @Override
        public Event event() {
            return Event.named("recovered")
                    .with("kind", kind)
                    .with("engine", engine)
                    .with("reason", reason)
                    .with("emitted_tokens", emittedTokens);
        }
    }

    /**
     * An engine crashed while it ran the request, which is suspected of the crash from then on.
     *
     * @param engine the engine
     * @param incarnation the incarnation of the engine that crashed
     */
    record EngineCrashed(String engine, long incarnation) implements Step {
        @Override
        public Event event() {
            return Event.named("engine_crashed").with("engine", engine).with("incarnation", incarnation);
        }
    }

    /**
     * A reservation was requested for a call that may run at most once.
     *
     * @param keyPresent whether the caller sent an idempotency key, without which nothing is reserved
     */
    record Reserving(boolean keyPresent) implements Step {
        @Override
        public Event event() {
            return Event.named("reserving").with("key_present", keyPresent);
        }
    }

    /**
     * A call was sent to a backend server; a reservation, where one is needed, was made before.
     *
     * @param server the name of the server
     */
    record Sent(String server) implements Step {
        @Override
        public Event event() {
            return Event.named("sent").with("server", server);
        }
    }

    /**
     * A repeatable call failed on a backend server.
     *
     * @param server the name of the server
     * @param reason the reason of the failure
     */
    record ServerFailed(String server, String reason) implements Step {
        @Override
        public Event event() {
            return Event.named("server_failed").with("server", server).with("reason", reason);
        }
    }

    /**
     * The request got its final response, or its caller disconnected.
     *
     * @param result {@code whole}, {@code answered}, {@code caller_gone}, or the kind of the refusal
     * @param detail the message sent to the caller, empty with a complete response
     * @param outputTokens the number of generated tokens of a complete response
     */
    record Ended(String result, Optional<String> detail, int outputTokens) implements Step {
        @Override
        public Event event() {
            return Event.named("ended")
                    .with("result", result)
                    .with("detail", detail.orElse("-"))
                    .with("output_tokens", outputTokens);
        }
    }
}
