package org.verbenatray.placement;

import org.verbenatray.backends.Backend;

/** Hears of long prompts that engines were given, or have processed. */
@FunctionalInterface
public interface PromptNews {
    /** Tells of a prompt. */
    void tell(Backend engine, PromptShape prompt, boolean processed);
}
