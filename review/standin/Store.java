import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store as a log (PROTOCOL.md, "The platform's metadata store"): appends with and without a condition,
 * reads that wait, the newest record of each key. It can come back from a copy (PAGES.md, "The store").
 */
final class Store {
    private static final int MOST_READ_BYTES = 1024 * 1024;

    private final Map<String, List<byte[]>> topics = new HashMap<>();
    private final Http.Server server;
    private final Record record;
    private long era = 1;

    Store(String host, Record record) throws IOException {
        this.record = record;
        this.server = new Http.Server(host, 0, this::handle);
    }

    String address() {
        return server.address();
    }

    /** The store is away: it closes all connections until it is back. */
    void leave() {
        server.setAnswering(false);
    }

    void comeBack() {
        server.setAnswering(true);
    }

    /** Returns a copy of all that is stored. */
    synchronized Map<String, List<byte[]>> copy() {
        Map<String, List<byte[]>> copy = new HashMap<>();
        topics.forEach((topic, records) -> copy.put(topic, new ArrayList<>(records)));
        return copy;
    }

    /** Replaces all that is stored by an earlier copy; the era rises by one. */
    synchronized void restore(Map<String, List<byte[]>> copy) {
        topics.clear();
        copy.forEach((topic, records) -> topics.put(topic, new ArrayList<>(records)));
        era++;
        notifyAll();
    }

    /** Writes a record of a keyed topic, as the operator and the servers do; an empty text drops the key. */
    synchronized long put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        byte[] content = ByteBuffer.allocate(1 + name.length + bytes.length)
                .put((byte) name.length)
                .put(name)
                .put(bytes)
                .array();
        List<byte[]> records = topics.computeIfAbsent(topic, name2 -> new ArrayList<>());
        records.add(content);
        notifyAll();
        return records.size() - 1;
    }

    synchronized int end(String topic) {
        return topics.getOrDefault(topic, List.of()).size();
    }

    /** Returns the records of a topic as texts. */
    synchronized List<String> texts(String topic) {
        return topics.getOrDefault(topic, List.of()).stream()
                .map(content -> new String(content, StandardCharsets.UTF_8))
                .toList();
    }

    private void handle(Http.Message request, Http.Connection connection) throws Exception {
        switch (request.path()) {
            case "/log-append" -> append(request, connection);
            case "/log-read" -> read(request, connection);
            case "/log-newest" -> newest(request, connection);
            default -> json(connection, 404, "{}");
        }
    }

    private void append(Http.Message request, Http.Connection connection) throws IOException {
        String topic = request.query("topic");
        String at = request.query("at");
        ByteBuffer body = ByteBuffer.wrap(request.body());
        List<byte[]> added = new ArrayList<>();
        while (body.hasRemaining()) {
            byte[] content = new byte[body.getInt()];
            body.get(content);
            added.add(content);
        }
        int status = 200;
        long offset;
        long end;
        synchronized (this) {
            if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
                status = 403;
            }
            List<byte[]> records = topics.computeIfAbsent(topic, name -> new ArrayList<>());
            offset = records.size();
            if (at != null && Long.parseLong(at) != offset) {
                status = 412;
            }
            if (status == 200) {
                records.addAll(added);
                notifyAll();
            }
            end = records.size();
        }
        if (!topic.startsWith("keyed.")) {
            record.write("store append topic=" + topic + " at=" + at + " from="
                    + new String(added.get(0), StandardCharsets.UTF_8) + " status=" + status + " end=" + end
                    + " era=" + era);
        }
        json(connection, status, "{\"offset\":" + offset + ",\"end\":" + end + "}");
    }

    private void read(Http.Message request, Http.Connection connection) throws Exception {
        String topic = request.query("topic");
        long from = Long.parseLong(request.query("from"));
        String wait = request.query("waitMs");
        long until = System.nanoTime() + 1_000_000 * (wait == null ? 0 : Long.parseLong(wait));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int status = 200;
        synchronized (this) {
            long begun = era;
            while (true) {
                int end = topics.getOrDefault(topic, List.of()).size();
                if (from > end) {
                    status = 410;
                    break;
                }
                long leftMillis = (until - System.nanoTime()) / 1_000_000;
                if (from < end || leftMillis <= 0 || era != begun) {
                    break;
                }
                wait(leftMillis + 1);
            }
            if (status == 200) {
                List<byte[]> records = topics.getOrDefault(topic, List.of());
                DataOutputStream out = new DataOutputStream(bytes);
                out.writeLong(records.size());
                out.writeLong(0);
                for (byte[] content : records.subList((int) from, records.size())) {
                    if (bytes.size() > MOST_READ_BYTES) {
                        break;
                    }
                    out.writeInt(content.length);
                    out.write(content);
                }
            }
        }
        if (status == 410) {
            json(connection, 410, "{\"first\":0}");
        } else {
            connection.send(200, Map.of("Store-Era", Long.toString(era)), bytes.toByteArray());
        }
    }

    private void newest(Http.Message request, Http.Connection connection) throws IOException {
        String topic = request.query("topic");
        String after = request.query("after");
        Map<String, String> items = new TreeMap<>();
        long end;
        synchronized (this) {
            List<byte[]> records = topics.getOrDefault(topic, List.of());
            end = records.size();
            for (int offset = 0; offset < records.size(); offset++) {
                byte[] content = records.get(offset);
                int length = Byte.toUnsignedInt(content[0]);
                String key = new String(content, 1, length, StandardCharsets.UTF_8);
                byte[] value = Arrays.copyOfRange(content, 1 + length, content.length);
                if (value.length == 0) {
                    items.remove(key);
                } else {
                    items.put(key, "{\"key\":\"" + key + "\",\"value\":\""
                            + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + offset + "}");
                }
            }
        }
        if (after != null) {
            String last = URLDecoder.decode(after, StandardCharsets.UTF_8);
            items.keySet().removeIf(key -> key.compareTo(last) <= 0);
        }
        json(connection, 200, "{\"items\":[" + String.join(",", items.values()) + "],\"more\":false,\"end\":" + end + "}");
    }

    private void json(Http.Connection connection, int status, String text) throws IOException {
        connection.send(
                status,
                Map.of("Content-Type", "application/json", "Store-Era", Long.toString(era)),
                text.getBytes(StandardCharsets.UTF_8));
    }
}
