package org.verbenatray.relay;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.catalog.ApiKey;
import org.verbenatray.placement.PromptShape;
import org.verbenatray.resilience.PartKey;
import org.verbenatray.time.Deadline;

/**
 * A request of a caller.
 *
 * @param id the id that the caller gave this attempt
 * @param caller the IP address of the caller
 * @param method the HTTP method
 * @param target the path with its query, as received
 * @param host the requested host
 * @param headers the headers to forward, by name
 * @param body the body
 * @param receivedNanos when the head of the request was read, in nanoseconds of the ticker
 * @param deadline when the caller stops waiting; empty if it states no timeout
 * @param prompt the size and the blocks of the prompt; empty for requests that generate nothing
 * @param lastEventId the id of the last event of an earlier response that the caller has received; empty to get the
 *     whole response
 * @param continuedRequestId the id of the attempt that brought the first event of the stream that this request
 *     continues; empty if it does not say that it continues one
 * @param apiKey the key of the customer; empty if it carries none
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
        Optional<String> lastEventId,
        Optional<String> continuedRequestId,
        Optional<ApiKey> apiKey) {
    private static final HashFunction HASH = Hashing.murmur3_128();

    /**
     * Returns a hash of the path and the body, by which repeats of one request are recognized. The address is left out:
     * one caller sends from several addresses, and what a server does depends on the content alone.
     */
    public String fingerprint() {
        return HASH.newHasher()
                .putString(path(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putBytes(body)
                .hash()
                .toString();
    }

    /** Returns the keys of the parts of the prompt that other requests may share; a crash may be due to one of them. */
    public List<String> partKeys() {
        return prompt.stream()
                .flatMap(shape -> shape.sharedBlocks().stream().map(part -> PartKey.of(shape.model(), part.id())))
                .toList();
    }

    /** Returns this request with other headers to forward. */
    public RelayRequest withHeaders(Map<String, String> others) {
        return new RelayRequest(
                id,
                caller,
                method,
                target,
                host,
                others,
                body,
                receivedNanos,
                deadline,
                prompt,
                lastEventId,
                continuedRequestId,
                apiKey);
    }

    /** Returns whether the caller has received events of the stream in an earlier attempt and wants the rest. */
    public boolean continuesStream() {
        return lastEventId.isPresent() || continuedRequestId.isPresent();
    }

    /** Returns the id of the attempt that brings or has brought the first event of the stream. */
    public String streamId() {
        return continuedRequestId.orElse(id);
    }

    /** Returns the path without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
