package org.verbenatray.relay;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.placement.PromptShape;
import org.verbenatray.time.Deadline;

/**
 * A caller's request.
 *
 * @param id the caller's name for this attempt
 * @param caller the IP number of the caller
 * @param method the method
 * @param target the path with its query, as it came
 * @param host the host that the caller named
 * @param headers the headers that are passed on, by name
 * @param body the body
 * @param receivedNanos when its head was read, in nanoseconds of the ticker
 * @param deadline when the caller stops waiting; empty where it states nothing
 * @param prompt the size of the generation; empty for other calls
 * @param resumeAfter the last event of an earlier answer that the caller has; empty for a whole answer
 */
public record RelayRequest(
        String id,
        String caller,
        String method,
        String target,
        String host,
        Map<String, String> headers,
        byte[] body,
        long receivedNanos,
        Optional<Deadline> deadline,
        Optional<PromptShape> prompt,
        Optional<String> resumeAfter) {
    /** The hash of fingerprints. */
    private static final HashFunction HASH = Hashing.murmur3_128();

    /** Returns what tells repeats of one request: the caller, the path and the body. */
    public String fingerprint() {
        return HASH.newHasher()
                .putString(caller, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(target, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putBytes(body)
                .hash()
                .toString();
    }

    /** Returns the path without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
