package org.verbenatray.relay;

import org.verbenatray.backends.Backend;

/**
 * A prompt whose prefill is done and whose key-value cache an engine holds for a decode engine.
 *
 * @param engine the engine that holds it
 * @param handle the identifier that this engine gave it
 */
public record PrefilledPrompt(Backend engine, String handle) {}
