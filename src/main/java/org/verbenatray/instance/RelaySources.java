package org.verbenatray.instance;

import java.util.Optional;
import java.util.function.Function;
import org.verbenatray.backends.BackendDirectory.Listing;
import org.verbenatray.catalog.Catalog;
import org.verbenatray.log.ConditionalLog;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.relay.RelayDialect;

/**
 * Where a relaying instance learns what it works with.
 *
 * @param routes the log that holds the routes
 * @param routesOf decodes a record of that log; empty for records that hold no valid routes
 * @param servers the log that holds the list of servers
 * @param serverOf decodes a record of that log; empty for records that name no usable server
 * @param instances the log in which instances list themselves
 * @param lease the log that holds the lease of those who give orders to engines
 * @param crashes the log in which instances tell of requests that crash servers
 * @param dialect the translation of headers
 */
public record RelaySources(
        KeyedLog routes,
        Function<KeyedLog.Entry, Optional<Catalog>> routesOf,
        KeyedLog servers,
        Function<KeyedLog.Entry, Optional<Listing>> serverOf,
        KeyedLog instances,
        ConditionalLog lease,
        ConditionalLog crashes,
        RelayDialect dialect) {}
