package org.verbenatray.catalog;

/**
 * What the engines of a service have.
 *
 * @param slots the requests that one engine runs at once
 * @param cacheTokens the tokens that one engine keeps in memory
 * @param handleMillis the time in milliseconds that an engine keeps a prefilled prompt for its decode
 */
public record EngineLimits(int slots, long cacheTokens, long handleMillis) {}
