package org.verbenatray.serving;

import java.util.function.Consumer;

/** Admits requests to the fleet, at once or after they waited in a queue. */
@FunctionalInterface
public interface Admitter {
    /** Calls exactly one of the two, on any thread; what is admitted is released by the given action. */
    void admit(CompletionRequest request, Consumer<Runnable> admitted, Consumer<Refusal> refused);
}
