package org.verbenatray.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.verbenatray.instance.EventLoop;
import org.verbenatray.time.Ticker;

/**
 * An in-memory HTTP server that behaves like the platform's store, with keyed and plain topics and faults.
 *
 * <p>It listens on one or more ports, so that a fault can apply to some of its clients only.
 */
final class FakeStore implements AutoCloseable {
    private static final HttpString EPOCH = new HttpString("Store-Era");

    private final Map<String, Topic> topics = new HashMap<>();

    private final EventLoop loop = EventLoop.start(Ticker.system());

    private final Undertow server;

    private final ObjectMapper json = new ObjectMapper();

    /** The fault that applies to the calls at each port; ports without a fault are absent. */
    private final Map<Integer, Fault> faults = new ConcurrentHashMap<>();

    /** The maximum number of records that a plain topic retains. */
    private volatile int retainedRecords = Integer.MAX_VALUE;

    /** The number of calls received. */
    private volatile int callCount;

    /** The epoch in all answers; rises with each restoration from a copy. */
    private long epoch = 1;

    private FakeStore(int ports) {
        Undertow.Builder builder = Undertow.builder().setWorker(loop.worker());
        for (int port = 0; port < ports; port++) {
            builder.addHttpListener(0, "127.0.0.1", this::handle);
        }
        server = builder.build();
        server.start();
    }

    /** Starts an empty store on a port chosen by the OS. */
    static FakeStore start() {
        return new FakeStore(1);
    }

    /** Starts an empty store on the given number of ports. */
    static FakeStore startOnPorts(int ports) {
        return new FakeStore(ports);
    }

    /** Returns the address of the first port as host:port. */
    String address() {
        return address(0);
    }

    /** Returns the address of the given port, counted from zero, as host:port. */
    String address(int index) {
        return "127.0.0.1:" + portNumber(index);
    }

    private int portNumber(int index) {
        return ((InetSocketAddress) server.getListenerInfo().get(index).getAddress()).getPort();
    }

    /** Returns the number of calls received so far. */
    int callCount() {
        return callCount;
    }

    /** Returns the number of records of a topic. */
    synchronized int recordCount(String topic) {
        return topic(topic).records.size();
    }

    /** Sets the fault that applies to all calls from now on. */
    void setFault(Fault newFault) {
        for (int index = 0; index < server.getListenerInfo().size(); index++) {
            setFault(index, newFault);
        }
    }

    /** Sets the fault that applies to calls at the given port, counted from zero, from now on. */
    void setFault(int index, Fault newFault) {
        faults.put(portNumber(index), newFault);
    }

    /** Makes plain topics drop all but their newest records. */
    void retainOnly(int records) {
        retainedRecords = records;
    }

    /** Appends a record to a keyed topic; a null value deletes the key. */
    synchronized void put(String topic, String key, String value) {
        Topic target = topic(topic);
        target.records.add(encodeKeyed(key, value));
        if (value == null) {
            target.newest.remove(key);
        } else {
            target.newest.put(key, value);
        }
    }

    /** Drops the history of a topic; the newest record of each key is retained. */
    synchronized void compact(String topic) {
        topic(topic).firstOffset = topic(topic).records.size();
    }

    /** Returns a copy of all that is stored. */
    synchronized Copy copy() {
        Map<String, Topic> copied = new HashMap<>();
        topics.forEach((name, topic) -> copied.put(name, topic.copy()));
        return new Copy(copied);
    }

    /** Replaces all that is stored by a copy, and begins a new epoch. */
    synchronized void restore(Copy copy) {
        topics.clear();
        copy.topics.forEach((name, topic) -> topics.put(name, topic.copy()));
        epoch++;
    }

    @Override
    public void close() {
        server.stop();
        loop.close();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, key -> new Topic());
    }

    private void handle(HttpServerExchange exchange) {
        callCount++;
        int port = exchange.getConnection()
                .getLocalAddress(InetSocketAddress.class)
                .getPort();
        switch (faults.getOrDefault(port, Fault.NONE)) {
            case NO_RESPONSE -> exchange.dispatch(() -> {});
            case BUSY -> send(exchange, 503, new byte[0]);
            case RESET -> {
                try {
                    exchange.getConnection().close();
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            }
            default -> serve(exchange, System.nanoTime() + waitMillis(exchange) * 1_000_000L);
        }
    }

    private synchronized void serve(HttpServerExchange exchange, long untilNanos) {
        String call = exchange.getRequestPath();
        Topic topic = topic(parameter(exchange, "topic", ""));
        if (call.equals("/log-newest")) {
            send(exchange, 200, newest(topic));
        } else if (call.equals("/log-read")) {
            int from = Integer.parseInt(parameter(exchange, "from", "0"));
            if (from < topic.firstOffset || from > topic.records.size()) {
                send(exchange, 410, ("{\"first\":" + topic.firstOffset + "}").getBytes(StandardCharsets.UTF_8));
            } else if (from >= topic.records.size() && System.nanoTime() < untilNanos) {
                exchange.dispatch(() -> exchange.getIoThread()
                        .executeAfter(() -> serve(exchange, untilNanos), 5, TimeUnit.MILLISECONDS));
            } else {
                send(exchange, 200, read(topic, from));
            }
        } else if (call.equals("/log-append")) {
            exchange.getRequestReceiver().receiveFullBytes((received, body) -> append(received, topic, body));
        } else {
            send(exchange, 404, new byte[0]);
        }
    }

    private synchronized void append(HttpServerExchange exchange, Topic topic, byte[] body) {
        ByteBuffer bytes = ByteBuffer.wrap(body);
        int offset = topic.records.size();
        while (bytes.hasRemaining()) {
            byte[] content = new byte[bytes.getInt()];
            bytes.get(content);
            topic.records.add(content);
            if (parameter(exchange, "topic", "").startsWith("keyed.")) {
                updateNewest(topic, content);
            }
        }
        if (!parameter(exchange, "topic", "").startsWith("keyed.")) {
            topic.firstOffset = Math.max(topic.firstOffset, topic.records.size() - retainedRecords);
        }
        String response = "{\"offset\":" + offset + ",\"end\":" + topic.records.size() + "}";
        send(exchange, 200, response.getBytes(StandardCharsets.UTF_8));
    }

    private static void updateNewest(Topic topic, byte[] content) {
        String key = new String(content, 1, content[0], StandardCharsets.UTF_8);
        String value = new String(content, 1 + content[0], content.length - 1 - content[0], StandardCharsets.UTF_8);
        if (value.isEmpty()) {
            topic.newest.remove(key);
        } else {
            topic.newest.put(key, value);
        }
    }

    private byte[] newest(Topic topic) {
        ObjectNode response = json.createObjectNode();
        ArrayNode items = response.putArray("items");
        topic.newest.forEach(
                (key, value) -> items.addObject().put("key", key).put("value", value.getBytes(StandardCharsets.UTF_8)));
        response.put("more", false).put("end", topic.records.size());
        return response.toString().getBytes(StandardCharsets.UTF_8);
    }

    private byte[] read(Topic topic, int from) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(topic.records.size());
            out.writeLong(topic.firstOffset);
            for (byte[] content : topic.records.subList(Math.min(from, topic.records.size()), topic.records.size())) {
                out.writeInt(content.length);
                out.write(content);
            }
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static byte[] encodeKeyed(String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + name.length + content.length)
                .put((byte) name.length)
                .put(name)
                .put(content)
                .array();
    }

    private static long waitMillis(HttpServerExchange exchange) {
        return Long.parseLong(parameter(exchange, "waitMs", "0"));
    }

    private static String parameter(HttpServerExchange exchange, String name, String fallback) {
        return exchange.getQueryParameters().containsKey(name)
                ? exchange.getQueryParameters().get(name).getFirst()
                : fallback;
    }

    private void send(HttpServerExchange exchange, int status, byte[] body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(EPOCH, epoch);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }

    /** A fault of the store. */
    enum Fault {
        /** No fault: calls are served. */
        NONE,
        /** Calls get no response. */
        NO_RESPONSE,
        /** Calls get status 503. */
        BUSY,
        /** The connection is closed. */
        RESET
    }

    /**
     * All that was stored at a time.
     *
     * @param topics the topics by name
     */
    record Copy(Map<String, Topic> topics) {}

    /** The state of a topic. */
    private static final class Topic {
        /** All records by offset, including dropped ones. */
        private final List<byte[]> records = new ArrayList<>();

        /** The newest value of each key. */
        private final Map<String, String> newest = new HashMap<>();

        /** The offset of the first record that is still readable. */
        private int firstOffset;

        private Topic copy() {
            Topic copied = new Topic();
            copied.records.addAll(records);
            copied.newest.putAll(newest);
            copied.firstOffset = firstOffset;
            return copied;
        }
    }
}
