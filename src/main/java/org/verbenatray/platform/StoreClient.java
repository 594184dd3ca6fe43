package org.verbenatray.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.verbenatray.instance.EventLoop;
import org.verbenatray.log.ConditionalLog;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.log.LogEpoch;
import org.verbenatray.log.LogUnavailableException;
import org.verbenatray.log.OffsetNotRetainedException;
import org.verbenatray.relay.RelayMetrics;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.time.Deadline;

/**
 * HTTP client of the platform's store, whose topics are exposed as {@link KeyedLog} and {@link ConditionalLog}.
 *
 * <p>Calls run on the thread of the relay loop. They fail with {@link LogUnavailableException}, or with
 * {@link OffsetNotRetainedException} if the requested records are no longer stored.
 */
final class StoreClient {
    /** The timeout of a call, in addition to the wait that it requests, in milliseconds. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 900;

    /** The maximum size of a response in bytes. */
    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** The maximum size of the records of one read, in KB. */
    private static final int MAX_READ_KB = 1_024;

    /** The epoch of the store, in all its answers; in lower case. */
    private static final String EPOCH = "store-era";

    /** The longest epoch that is read, in digits. */
    private static final int MAX_EPOCH_DIGITS = 12;

    /** The status of a conditional append to a log that ends at another offset. */
    private static final int STATUS_PRECONDITION_FAILED = 412;

    /** The status of a read of records that the store has dropped. */
    private static final int STATUS_GONE = 410;

    private final EventLoop loop;

    private final URI address;

    private final RelayMetrics metrics;

    private final ObjectMapper json = new ObjectMapper();

    private final LogEpoch epoch = LogEpoch.unknown();

    private StoreClient(EventLoop loop, URI address, RelayMetrics metrics) {
        this.loop = loop;
        this.address = address;
        this.metrics = metrics;
    }

    /** Returns a client of the store at a base URI. */
    static StoreClient create(EventLoop loop, URI address, RelayMetrics metrics) {
        return new StoreClient(loop, address, metrics);
    }

    /** Returns a keyed topic; its name must start with "keyed.". */
    KeyedLog keyedTopic(String topic) {
        return new KeyedTopic(topic);
    }

    /** Returns a plain topic, of which only partition 0 is used. */
    ConditionalLog plainTopic(String topic) {
        return new PlainTopic(topic);
    }

    private HttpCall getCall(String path) {
        return HttpCall.create("GET", address, path, Map.of(), new byte[0]);
    }

    /** Returns the path of a read from partition 0 of a topic, which waits up to the given time for a record. */
    private static String readPath(String topic, long from, long waitMillis) {
        return "/log-read?topic=" + topic + "&part=0&from=" + from + "&maxKb=" + MAX_READ_KB
                + (waitMillis > 0 ? "&waitMs=" + waitMillis : "");
    }

    /** Returns a call that appends records, on a new connection since a pooled one may be closed and lose the call. */
    private HttpCall appendCall(String topic, String condition, List<byte[]> contents) {
        int bodyBytes = contents.stream()
                .mapToInt(content -> Integer.BYTES + content.length)
                .sum();
        ByteBuffer body = ByteBuffer.allocate(bodyBytes);
        contents.forEach(content -> body.putInt(content.length).put(content));
        String path = "/log-append?topic=" + topic + "&part=0" + condition;
        return HttpCall.create("POST", address, path, Map.of(), body.array()).onNewConnection();
    }

    /** Decodes the records of a response: the end offset and the first offset, then each record after its length. */
    private static List<byte[]> decodeRecords(byte[] body) {
        ByteBuffer bytes = ByteBuffer.wrap(body);
        if (bytes.remaining() < 2 * Long.BYTES) {
            throw new CompletionException(new LogUnavailableException("the store's response is too short", null));
        }
        bytes.position(2 * Long.BYTES);
        List<byte[]> contents = new ArrayList<>();
        while (bytes.hasRemaining()) {
            contents.add(nextRecord(bytes));
        }
        return contents;
    }

    private static byte[] nextRecord(ByteBuffer bytes) {
        int length = bytes.remaining() < Integer.BYTES ? -1 : bytes.getInt();
        if (length < 0 || length > bytes.remaining()) {
            throw new CompletionException(
                    new LogUnavailableException("the store's response has a record of a wrong length", null));
        }
        byte[] content = new byte[length];
        bytes.get(content);
        return content;
    }

    /** Sends a call and returns its response; fails if the status is not 200. */
    private CompletableFuture<BufferedResponse> sendExpectingOk(HttpCall call, String name, long waitMillis) {
        return send(call, name, waitMillis).thenApply(StoreClient::requireOk);
    }

    /** Sends a call and returns its response with any status. */
    private CompletableFuture<BufferedResponse> send(HttpCall call, String name, long waitMillis) {
        Deadline deadline = Deadline.afterMillis(loop.ticker().nanos(), waitMillis + RESPONSE_TIMEOUT_MILLIS);
        return loop.transport()
                .call(call, loop.thread(), deadline, MAX_RESPONSE_BYTES)
                .handle((response, failure) -> {
                    metrics.recordStoreCall(name, failure == null ? String.valueOf(response.status()) : "failed");
                    if (failure == null) {
                        return requireNewestEpoch(response);
                    }
                    if (failure instanceof ServerFailure known && known.kind() == ServerFailure.Kind.TIMED_OUT) {
                        loop.transport().closeIdleConnections(address.getAuthority());
                    }
                    throw new CompletionException(
                            new LogUnavailableException("the store did not respond: " + failure.getMessage(), failure));
                });
    }

    /**
     * Records the epoch of a response and returns the response; fails if a later epoch is known, since the store has
     * lost what the response tells.
     */
    private BufferedResponse requireNewestEpoch(BufferedResponse response) {
        boolean isNewest = response.header(EPOCH)
                .map(String::trim)
                .filter(text -> text.length() <= MAX_EPOCH_DIGITS
                        && !text.isEmpty()
                        && text.chars().allMatch(character -> character >= '0' && character <= '9'))
                .map(text -> epoch.record(Long.parseLong(text)))
                .orElse(true);
        if (!isNewest) {
            throw new CompletionException(
                    new LogUnavailableException("the response is from before the store was restored; retry", null));
        }
        return response;
    }

    /** Returns a response of status 200; fails for any other status. */
    private static BufferedResponse requireOk(BufferedResponse response) {
        if (response.status() == STATUS_GONE) {
            throw new CompletionException(
                    new OffsetNotRetainedException("the store dropped the records: " + response.text()));
        }
        if (response.status() != 200) {
            throw new CompletionException(
                    new LogUnavailableException("the store responded with status " + response.status(), null));
        }
        return response;
    }

    /** A keyed topic; keyed topics have a single partition. */
    private final class KeyedTopic implements KeyedLog {
        private final String topic;

        KeyedTopic(String topic) {
            this.topic = topic;
        }

        @Override
        public LogEpoch epoch() {
            return epoch;
        }

        @Override
        public CompletableFuture<Page> newestRecords(Optional<String> after) {
            String path = "/log-newest?topic=" + topic + "&part=0"
                    + after.map(key -> "&after=" + URLEncoder.encode(key, StandardCharsets.UTF_8))
                            .orElse("");
            return sendExpectingOk(getCall(path), "log-newest", 0).thenApply(this::decodePage);
        }

        @Override
        public CompletableFuture<List<Entry>> changes(long from, long waitMillis) {
            return sendExpectingOk(getCall(readPath(topic, from, waitMillis)), "log-read", waitMillis)
                    .thenApply(response -> decodeRecords(response.body()).stream()
                            .map(KeyedTopic::decodeEntry)
                            .toList());
        }

        @Override
        public CompletableFuture<Void> putAll(List<Entry> entries) {
            List<byte[]> contents =
                    entries.stream().map(KeyedTopic::encodeEntry).toList();
            return sendExpectingOk(appendCall(topic, "", contents), "log-append", 0)
                    .thenAccept(response -> {});
        }

        private static byte[] encodeEntry(Entry entry) {
            byte[] name = entry.key().getBytes(StandardCharsets.UTF_8);
            byte[] value = entry.value().orElse(new byte[0]);
            return ByteBuffer.allocate(1 + name.length + value.length)
                    .put((byte) name.length)
                    .put(name)
                    .put(value)
                    .array();
        }

        private Page decodePage(BufferedResponse response) {
            try {
                JsonNode node = json.readTree(response.body());
                List<Entry> entries = new ArrayList<>();
                for (JsonNode item : node.path("items")) {
                    entries.add(new Entry(
                            item.path("key").asText(),
                            Optional.of(item.path("value").binaryValue())));
                }
                return new Page(
                        entries, node.path("more").asBoolean(), node.path("end").asLong());
            } catch (IOException e) {
                throw new CompletionException(new LogUnavailableException("the store's response is not JSON", e));
            }
        }

        /** Decodes a record: the length of the key in one byte, the key, the value; an empty value deletes the key. */
        private static Entry decodeEntry(byte[] content) {
            if (content.length == 0) {
                return new Entry("", Optional.empty());
            }
            int keyLength = Math.min(Byte.toUnsignedInt(content[0]), content.length - 1);
            String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
            byte[] value = Arrays.copyOfRange(content, 1 + keyLength, content.length);
            return new Entry(key, value.length == 0 ? Optional.empty() : Optional.of(value));
        }
    }

    /** A plain topic, of which only partition 0 is used. */
    private final class PlainTopic implements ConditionalLog {
        private final String topic;

        PlainTopic(String topic) {
            this.topic = topic;
        }

        @Override
        public LogEpoch epoch() {
            return epoch;
        }

        @Override
        public CompletableFuture<OptionalLong> appendAt(long end, List<byte[]> contents) {
            return send(appendCall(topic, "&at=" + end, contents), "log-append", 0)
                    .thenApply(response -> lastOffset(response, contents.size()));
        }

        @Override
        public CompletableFuture<Void> append(byte[] content) {
            return sendExpectingOk(appendCall(topic, "", List.of(content)), "log-append", 0)
                    .thenAccept(response -> {});
        }

        @Override
        public CompletableFuture<Tail> read(long from, long waitMillis) {
            return send(getCall(readPath(topic, from, waitMillis)), "log-read", waitMillis)
                    .thenCompose(response -> response.status() == STATUS_GONE
                            ? read(firstRetainedOffset(response), waitMillis)
                            : CompletableFuture.completedFuture(decodeTail(requireOk(response))));
        }

        /** Decodes the end offset and the records of a response. */
        private Tail decodeTail(BufferedResponse response) {
            return new Tail(ByteBuffer.wrap(response.body()).getLong(), decodeRecords(response.body()));
        }

        private long firstRetainedOffset(BufferedResponse response) {
            try {
                return json.readTree(response.body()).path("first").asLong();
            } catch (IOException e) {
                throw new CompletionException(new LogUnavailableException("the store's response is not JSON", e));
            }
        }

        /** Returns the offset of the last of the appended records; empty if the log ended at another offset. */
        private OptionalLong lastOffset(BufferedResponse response, int records) {
            if (response.status() == STATUS_PRECONDITION_FAILED) {
                return OptionalLong.empty();
            }
            if (response.status() != 200) {
                throw new CompletionException(
                        new LogUnavailableException("the store responded with status " + response.status(), null));
            }
            try {
                return OptionalLong.of(
                        json.readTree(response.body()).path("offset").asLong() + records - 1);
            } catch (IOException e) {
                throw new CompletionException(new LogUnavailableException("the store's response is not JSON", e));
            }
        }
    }
}
