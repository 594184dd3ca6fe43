package org.verbenatray.catalog;

import java.util.OptionalInt;

/**
 * An organisation whose callers are known by its API keys.
 *
 * @param name the name, unique in the catalog
 * @param priority the priority of its requests, zero being the highest; empty to use that of the route
 */
public record Customer(String name, OptionalInt priority) {}
