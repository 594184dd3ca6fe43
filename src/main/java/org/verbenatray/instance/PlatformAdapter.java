package org.verbenatray.instance;

import java.util.Optional;
import java.util.function.Function;
import org.verbenatray.backends.BackendDirectory.Listing;
import org.verbenatray.catalog.Catalog;
import org.verbenatray.duties.PlatformApi;
import org.verbenatray.log.ConditionalLog;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.relay.RelayDialect;

/**
 * The logs of the platform that a relay instance reads and writes, with the decoders of their records and the
 * translation of headers.
 *
 * @param routes the log that holds the routes
 * @param routesDecoder decodes a record of that log; empty for a record without valid routes
 * @param servers the log that holds the list of backend servers
 * @param serverDecoder decodes a record of that log; empty for a record without a usable server
 * @param instances the log in which instances register
 * @param lease the log that holds the lease whose holder gives orders to engines
 * @param crashReports the log in which instances report requests that crash servers
 * @param dutyLease the log that holds the lease under which one instance does the duties
 * @param api the platform's API for duties; empty if the settings name none
 * @param dialect the names and formats of HTTP headers on this platform
 */
public record PlatformAdapter(
        KeyedLog routes,
        Function<KeyedLog.Entry, Optional<Catalog>> routesDecoder,
        KeyedLog servers,
        Function<KeyedLog.Entry, Optional<Listing>> serverDecoder,
        KeyedLog instances,
        ConditionalLog lease,
        KeyedLog crashReports,
        ConditionalLog dutyLease,
        Optional<PlatformApi> api,
        RelayDialect dialect) {}
