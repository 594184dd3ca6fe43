package org.verbenatray.serving;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Optional;

/** Creates the JSON documents of completion responses, in the format of the OpenAI API. */
final class CompletionDocuments {
    private CompletionDocuments() {}

    /** Returns one chunk of a streamed response. */
    static Completion chunk(CompletionRequest request, String text, Optional<String> finishReason) {
        return request.chat()
                ? document(request, "chat.completion.chunk", deltaChoice(text, finishReason), Optional.empty())
                : document(request, "text_completion", textChoice(text, finishReason), Optional.empty());
    }

    /** Returns a complete response. */
    static Completion fullResponse(CompletionRequest request, String text, String finishReason, int outputTokens) {
        Usage usage = new Usage(request.promptTokens(), outputTokens, request.promptTokens() + outputTokens);
        return request.chat()
                ? document(request, "chat.completion", messageChoice(text, finishReason), Optional.of(usage))
                : document(request, "text_completion", textChoice(text, Optional.of(finishReason)), Optional.of(usage));
    }

    private static Completion document(CompletionRequest request, String object, Choice choice, Optional<Usage> usage) {
        return new Completion("cmpl-" + request.requestId(), object, request.model(), List.of(choice), usage);
    }

    /** Returns the choice of a text completion, or of one of its chunks. */
    private static Choice textChoice(String text, Optional<String> finishReason) {
        return new Choice(0, Optional.of(text), Optional.empty(), Optional.empty(), finishReason);
    }

    /** Returns the choice of a chunk of a chat completion. */
    private static Choice deltaChoice(String text, Optional<String> finishReason) {
        return new Choice(
                0, Optional.empty(), Optional.of(new Message("assistant", text)), Optional.empty(), finishReason);
    }

    /** Returns the choice of a complete chat completion. */
    private static Choice messageChoice(String text, String finishReason) {
        return new Choice(
                0,
                Optional.empty(),
                Optional.empty(),
                Optional.of(new Message("assistant", text)),
                Optional.of(finishReason));
    }

    /**
     * A response or one of its chunks.
     *
     * @param id the id of the response
     * @param object the type of the document
     * @param model the model
     * @param choices the only choice
     * @param usage the token counts, only present in a complete response
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    record Completion(String id, String object, String model, List<Choice> choices, Optional<Usage> usage) {}

    /**
     * A choice.
     *
     * @param index always zero
     * @param text the text of a text completion
     * @param delta the text of a chunk of a chat completion
     * @param message the text of a complete chat completion
     * @param finishReason why the generation ended, empty before the last chunk
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    record Choice(
            int index,
            Optional<String> text,
            Optional<Message> delta,
            Optional<Message> message,
            @JsonProperty("finish_reason") Optional<String> finishReason) {}

    /**
     * A message of a chat.
     *
     * @param role the role of its author
     * @param content the text
     */
    record Message(String role, String content) {}

    /**
     * The token counts of a request.
     *
     * @param promptTokens the estimated tokens of the prompt
     * @param completionTokens the generated tokens
     * @param totalTokens the sum of both
     */
    record Usage(
            @JsonProperty("prompt_tokens") int promptTokens,
            @JsonProperty("completion_tokens") int completionTokens,
            @JsonProperty("total_tokens") int totalTokens) {}
}
