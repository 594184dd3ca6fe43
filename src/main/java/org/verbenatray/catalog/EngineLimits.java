package org.verbenatray.catalog;

/**
 * The capacity of each engine of a service.
 *
 * @param slots the number of requests that an engine runs concurrently
 * @param cacheTokens the capacity of the KV cache of an engine, in tokens
 * @param handleTtlMillis the time for which an engine retains a prefilled prompt for its decode, in milliseconds
 */
public record EngineLimits(int slots, long cacheTokens, long handleTtlMillis) {}
