package org.verbenatray.relay;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.placement.PromptBlock;
import org.verbenatray.placement.PromptShape;

/**
 * The question where a request would be sent now.
 *
 * @param host the requested host
 * @param path the path without its query
 * @param customer the name of the customer; empty if the caller has no key
 * @param prompt the size and the blocks of the prompt; empty for a request that generates nothing
 */
public record DestinationQuestion(String host, String path, Optional<String> customer, Optional<PromptShape> prompt) {
    /**
     * Returns the question of a query string, whose values may be percent-encoded; fails with
     * {@link IllegalArgumentException} that names the remedy.
     *
     * @param parameters the values by name: host, path, customer, model, part (ID:TOKENS, in order), tokens, output
     */
    public static DestinationQuestion parse(Map<String, Deque<String>> parameters) {
        String host = first(parameters, "host").orElseThrow(() -> missing("host"));
        String path = first(parameters, "path").orElseThrow(() -> missing("path"));
        return new DestinationQuestion(host, path, first(parameters, "customer"), prompt(parameters));
    }

    private static Optional<PromptShape> prompt(Map<String, Deque<String>> parameters) {
        Optional<String> tokens = first(parameters, "tokens");
        if (tokens.isEmpty()) {
            return Optional.empty();
        }
        int promptTokens = number("tokens", tokens.get());
        int outputTokens =
                first(parameters, "output").map(text -> number("output", text)).orElse(1);
        List<PromptBlock> blocks = new ArrayList<>();
        Collection<String> parts = parameters.containsKey("part") ? parameters.get("part") : List.of();
        parts.forEach(part -> blocks.add(block(decoded(part))));
        int sharedTokens = blocks.stream().mapToInt(PromptBlock::tokens).sum();
        if (sharedTokens > promptTokens) {
            throw new IllegalArgumentException("the parts have more tokens than the prompt; raise tokens");
        }
        blocks.add(new PromptBlock("own", promptTokens - sharedTokens));
        String model = first(parameters, "model").orElse("");
        return Optional.of(new PromptShape(model, promptTokens, outputTokens, List.copyOf(blocks)));
    }

    private static PromptBlock block(String part) {
        int colon = part.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("part " + part + " is malformed; give ID:TOKENS");
        }
        return new PromptBlock(part.substring(0, colon), number("part", part.substring(colon + 1)));
    }

    private static int number(String name, String text) {
        try {
            int value = Integer.parseInt(text);
            if (value > 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + " is " + text + "; give a number of tokens", e);
        }
        throw new IllegalArgumentException(name + " is " + text + "; give a positive number of tokens");
    }

    private static Optional<String> first(Map<String, Deque<String>> parameters, String name) {
        return Optional.ofNullable(parameters.get(name)).map(values -> decoded(values.getFirst()));
    }

    private static String decoded(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private static IllegalArgumentException missing(String name) {
        return new IllegalArgumentException(name + " is missing; give the " + name + " of the request");
    }
}
