package org.verbenatray.serving;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The JSON body of a completion request; unknown keys are ignored.
 *
 * @param model the model
 * @param prompt the prompt of a text completion
 * @param messages the messages of a chat completion
 * @param maxTokens the maximum number of tokens to generate
 * @param stream whether to stream the response
 * @param seed the sampling seed
 */
record CompletionBody(
        String model,
        Optional<String> prompt,
        Optional<List<Message>> messages,
        @JsonProperty("max_tokens") Optional<Integer> maxTokens,
        Optional<Boolean> stream,
        Optional<Long> seed) {
    /** The maximum number of generated tokens if the request states none. */
    private static final int DEFAULT_MAX_TOKENS = 256;

    /** The maximum value of max_tokens. */
    private static final int MAX_TOKENS_LIMIT = 131_072;

    /** Rejects values of a wrong type instead of coercing them, and content after the JSON document. */
    private static final ObjectReader READER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build()
            .readerFor(CompletionBody.class);

    /** Parses and validates a body; throws a {@link RefusalException} that names the fault. */
    static CompletionBody parse(byte[] body, boolean chat) {
        CompletionBody parsed = read(body);
        if (parsed == null || parsed.model() == null || parsed.model().isBlank()) {
            throw badRequest("the key \"model\" is missing; name one of the models listed by /v1/models");
        }
        if (chat && parsed.messages().orElse(List.of()).isEmpty()) {
            throw badRequest(
                    "the key \"messages\" is missing or empty; give at least one message with role and content");
        }
        if (chat && !parsed.messages().orElse(List.of()).stream().allMatch(Message::isComplete)) {
            throw badRequest("a message lacks its role or its content; give both as strings");
        }
        if (!chat && parsed.prompt().orElse("").isEmpty()) {
            throw badRequest("the key \"prompt\" is missing or empty; give the prompt as a string");
        }
        int tokens = parsed.maxTokensOrDefault();
        if (tokens < 1 || tokens > MAX_TOKENS_LIMIT) {
            throw badRequest("max_tokens is " + tokens + "; give 1 to " + MAX_TOKENS_LIMIT);
        }
        return parsed;
    }

    /** Returns the maximum number of tokens to generate. */
    int maxTokensOrDefault() {
        return maxTokens.orElse(DEFAULT_MAX_TOKENS);
    }

    /** Returns the prompt; for a chat, its messages joined by line breaks. */
    String promptText(boolean chat) {
        if (!chat) {
            return prompt.orElse("");
        }
        return messages.orElse(List.of()).stream()
                .map(message -> message.role() + ": " + message.content())
                .collect(Collectors.joining("\n"));
    }

    /** Parses the JSON. */
    private static CompletionBody read(byte[] body) {
        try {
            return READER.readValue(body);
        } catch (JsonMappingException e) {
            throw badRequest("the body has a wrong type at "
                    + e.getPathReference().replaceAll("^.*\\[\"", "[\"") + "; see the completion API for the types");
        } catch (JsonProcessingException e) {
            throw badRequest("the body is not JSON (" + e.getOriginalMessage() + "); send one JSON object");
        } catch (IOException e) {
            throw badRequest("the body cannot be read; send one JSON object");
        }
    }

    /** Returns the refusal of an invalid body. */
    private static RefusalException badRequest(String message) {
        return new RefusalException(Refusal.notRun(RefusalKind.BAD_REQUEST, message));
    }

    /**
     * A message of a chat.
     *
     * @param role the role of its author
     * @param content the text
     */
    record Message(String role, String content) {
        /** Returns whether a message is present and has a role and content. */
        private static boolean isComplete(Message message) {
            return message != null && message.role() != null && message.content() != null;
        }
    }
}
