package org.verbenatray.backends;

import java.net.URI;

/**
 * What a backend server states of itself in the list of servers.
 *
 * @param id the name of the server, unique in the deployment
 * @param service the service it belongs to
 * @param address its base URI
 * @param domain the failure domain
 * @param stage what it does
 * @param leaving whether it is about to end
 * @param slots the requests it runs at once
 * @param bornMillis the Unix time of its start in milliseconds, which tells two starts of one id apart
 */
public record BackendEntry(
        String id,
        String service,
        URI address,
        String domain,
        BackendStage stage,
        boolean leaving,
        int slots,
        long bornMillis) {
    /** Returns the name of this start of the server. */
    public String boot() {
        return id + "@" + bornMillis;
    }
}
