package org.verbenatray.serving;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Optional;

/** The JSON documents of completion answers, in the form that clients of the OpenAI API read. */
final class CompletionDocuments {
    /** Prevents instances. */
    private CompletionDocuments() {}

    /** Returns a piece of a streamed answer. */
    static Completion piece(CompletionRequest request, String text, Optional<String> finish) {
        return request.chat()
                ? document(request, "chat.completion.chunk", deltaChoice(text, finish), Optional.empty())
                : document(request, "text_completion", textChoice(text, finish), Optional.empty());
    }

    /** Returns a whole answer. */
    static Completion whole(CompletionRequest request, String text, String finish, int outputTokens) {
        Usage usage = new Usage(request.promptTokens(), outputTokens, request.promptTokens() + outputTokens);
        return request.chat()
                ? document(request, "chat.completion", messageChoice(text, finish), Optional.of(usage))
                : document(request, "text_completion", textChoice(text, Optional.of(finish)), Optional.of(usage));
    }

    /** Returns a document with one choice. */
    private static Completion document(CompletionRequest request, String object, Choice choice, Optional<Usage> usage) {
        return new Completion("cmpl-" + request.requestId(), object, request.model(), List.of(choice), usage);
    }

    /** Returns the choice of a plain completion. */
    private static Choice textChoice(String text, Optional<String> finish) {
        return new Choice(0, Optional.of(text), Optional.empty(), Optional.empty(), finish);
    }

    /** Returns the choice of a piece of a chat. */
    private static Choice deltaChoice(String text, Optional<String> finish) {
        return new Choice(0, Optional.empty(), Optional.of(new Message("assistant", text)), Optional.empty(), finish);
    }

    /** Returns the choice of a whole chat. */
    private static Choice messageChoice(String text, String finish) {
        return new Choice(
                0,
                Optional.empty(),
                Optional.empty(),
                Optional.of(new Message("assistant", text)),
                Optional.of(finish));
    }

    /**
     * An answer or a piece of one.
     *
     * @param id the id
     * @param object the type of the document
     * @param model the model
     * @param choices the one choice
     * @param usage the token counts of a whole answer
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    record Completion(String id, String object, String model, List<Choice> choices, Optional<Usage> usage) {}

    /**
     * A choice.
     *
     * @param index always zero
     * @param text the text of a plain completion
     * @param delta the text of a piece of a chat
     * @param message the text of a whole chat
     * @param finishReason why the answer ended
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
     * @param role the role
     * @param content the text
     */
    record Message(String role, String content) {}

    /**
     * The token counts.
     *
     * @param promptTokens the approximate tokens of the prompt
     * @param completionTokens the generated tokens
     * @param totalTokens their sum
     */
    record Usage(
            @JsonProperty("prompt_tokens") int promptTokens,
            @JsonProperty("completion_tokens") int completionTokens,
            @JsonProperty("total_tokens") int totalTokens) {}
}
