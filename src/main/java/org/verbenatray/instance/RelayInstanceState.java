package org.verbenatray.instance;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.verbenatray.backends.Backend;
import org.verbenatray.limits.ServerLimits;
import org.verbenatray.memory.MemoryAccount;
import org.verbenatray.memory.MemoryUse;
import org.verbenatray.relay.RequestEnd;

/**
 * The state of a relay instance, served as JSON under these names.
 *
 * @param instance the name of the instance
 * @param ready whether it accepts requests
 * @param routesVersion the version of the routes in force, zero for none
 * @param routesAgeMillis the time for which they have been in force, in milliseconds
 * @param graceMillis the grace period for stopping, in milliseconds
 * @param openRequests the number of requests that were read whole and have not ended
 * @param readRequests the number of requests that were read whole since the start
 * @param requestEnds the number of requests that have ended since the start, by how they ended
 * @param peers the number of instances with which it exchanges its open work
 * @param crashes the number of servers that ended under a request, by the fingerprint of the request
 * @param memory the bytes that callers and servers make it keep
 * @param backends the backend servers
 */
public record RelayInstanceState(
        String instance,
        boolean ready,
        long routesVersion,
        long routesAgeMillis,
        long graceMillis,
        int openRequests,
        long readRequests,
        Map<RequestEnd, Long> requestEnds,
        int peers,
        Map<String, Integer> crashes,
        MemoryState memory,
        List<BackendState> backends) {
    /**
     * The bytes that callers and servers make the process keep.
     *
     * @param maxBytes the bound
     * @param peakBytes the most so far
     * @param bytesByUse the bytes by use
     * @param waiting the number of bodies and responses that wait for room
     */
    public record MemoryState(long maxBytes, long peakBytes, Map<MemoryUse, Long> bytesByUse, int waiting) {
        /** Returns the state of an account. */
        static MemoryState of(MemoryAccount account) {
            return new MemoryState(
                    account.maxBytes(), account.peakBytes(), account.retainedByUse(), account.waitingCount());
        }
    }

    /**
     * The state of a backend server.
     *
     * @param boot the id of one start of the server
     * @param service the service
     * @param stage the stage of generation that it serves, or PLAIN
     * @param leaving whether it accepts no new requests
     * @param open the number of open requests that this instance sent to it
     * @param failureShare the moving average of the share of failed responses
     * @param requestsPerSecond the limit that the server states for all instances together; empty if it states none
     */
    public record BackendState(
            String boot,
            String service,
            String stage,
            boolean leaving,
            int open,
            double failureShare,
            Optional<Double> requestsPerSecond) {
        /** Returns the state of a server as this instance sees it. */
        static BackendState of(Backend backend, ServerLimits limits) {
            OptionalDouble limit = limits.requestsPerSecond(backend.entry().bootId());
            return new BackendState(
                    backend.entry().bootId(),
                    backend.entry().service(),
                    backend.entry().stage().name(),
                    backend.leaving(),
                    backend.openRequests(),
                    backend.failureRate(),
                    limit.isPresent() ? Optional.of(limit.getAsDouble()) : Optional.empty());
        }
    }
}
