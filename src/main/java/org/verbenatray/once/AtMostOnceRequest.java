package org.verbenatray.once;

import java.util.Optional;
import org.verbenatray.time.Deadline;

/**
 * A request whose call may run at most once.
 *
 * @param key the key of the call, empty if the caller sent no idempotency key
 * @param bodyHash the hash that distinguishes a retry of the same request from reuse of its key for another one
 * @param deadline the caller's deadline; no call is sent after it
 */
public record AtMostOnceRequest(Optional<CallKey> key, String bodyHash, Deadline deadline) {}
