package org.verbenatray.relay;

import org.verbenatray.backends.Backend;

/**
 * A processed prompt that an engine holds for a decode engine.
 *
 * @param holder the engine that holds it
 * @param handle the engine's name for it
 */
public record PromptSource(Backend holder, String handle) {}
