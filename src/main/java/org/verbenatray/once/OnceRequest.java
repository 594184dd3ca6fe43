package org.verbenatray.once;

import java.util.Optional;
import org.verbenatray.time.Deadline;

/**
 * A request whose call may run at most once.
 *
 * @param key the key of the call, empty when the caller gave none
 * @param bodyHash the hash by which repeats of the same request are told from misuse of its key
 * @param deadline the caller's deadline; nothing is sent after it
 */
public record OnceRequest(Optional<CallKey> key, String bodyHash, Deadline deadline) {}
