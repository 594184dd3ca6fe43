package org.verbenatray.placement;

import org.verbenatray.backends.Backend;

/** A listener for the placement of long prompts at engines. */
@FunctionalInterface
public interface PromptPlacementListener {
    /** Called when an engine was assigned a prompt, or has processed it if {@code processed} is true. */
    void promptPlaced(Backend engine, PromptShape prompt, boolean processed);
}
