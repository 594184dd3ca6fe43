package org.verbenatray.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.verbenatray.backends.Backend;

/** Decides about prompts, by what this instance knows or by what another one knows better. */
@FunctionalInterface
public interface PromptPlacement {
    /**
     * Decides about a prompt, at once or some milliseconds later.
     *
     * @param request the prompt
     * @param engines the engines of its service that may process it
     * @param tried the engines that are excluded because they were tried before
     * @param onPlaced receives the decision, once
     */
    void place(
            PromptRequest request, List<Backend> engines, Collection<Backend> tried, Consumer<PlacedPrompt> onPlaced);

    /** Returns a placement that decides at once by a scheduler of this instance. */
    static PromptPlacement by(PromptScheduler scheduler) {
        return (request, engines, tried, onPlaced) ->
                onPlaced.accept(PlacedPrompt.untracked(scheduler.decide(request, engines, tried)));
    }
}
