package org.verbenatray.backends;

import java.net.URI;

/**
 * The entry by which a backend server registers itself in the server list.
 *
 * @param id the name of the server, unique in the deployment
 * @param service the name of the service that it belongs to
 * @param address the base URI
 * @param domain the failure domain
 * @param stage the stage that it serves
 * @param leaving true if it is about to shut down
 * @param slots the number of requests that it runs concurrently
 * @param softwareVersion the version of its software, empty if it is unknown; versions have no order
 * @param reclaimable whether it may be reclaimed at short notice, with all such servers of its domain
 * @param startedMillis the Unix time of its start in milliseconds, which distinguishes restarts under the same id
 */
public record BackendEntry(
        String id,
        String service,
        URI address,
        String domain,
        BackendStage stage,
        boolean leaving,
        int slots,
        String softwareVersion,
        boolean reclaimable,
        long startedMillis) {
    /** Returns an identifier that is unique to this process of the server. */
    public String bootId() {
        return id + "@" + startedMillis;
    }
}
