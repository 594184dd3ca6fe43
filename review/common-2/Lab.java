import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-ins of the second review: the platform's store, backend servers, callers, and the relay as a process. */
final class Lab {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    static final long START = System.nanoTime();

    /** The time after which a script ends by itself. */
    private static final long MAX_MILLIS = 110_000;

    private static PrintWriter record;

    /** The loopback network of this run: relays listen on fixed ports too, so that each needs an address of its own. */
    private static final String NETWORK =
            "127." + (10 + (int) (Math.random() * 200)) + "." + (int) (Math.random() * 250) + ".";

    private Lab() {}

    /** Returns a loopback address of this run. */
    static String ip(int number) {
        return NETWORK + number;
    }

    static synchronized void openRecord() throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getenv("RECORD"))), true);
        daemon(() -> {
            sleep(MAX_MILLIS);
            unusable("it took too long");
        });
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    /** Writes a line to record.txt, with the time since the start of the script. */
    static synchronized void note(String text) {
        record.println(String.format(Locale.ROOT, "%8.3f %s", millis() / 1000.0, text));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static InetAddress loopback(String address) {
        try {
            return InetAddress.getByName(address);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns a port that is free on an address now. */
    static int freePort(String address) {
        try (ServerSocket socket = new ServerSocket(0, 1, loopback(address))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the first of 16 ports that are free on addresses of the relays, for TCP and UDP. */
    static int freeInternalPorts(String... addresses) {
        for (int attempt = 0; attempt < 200; attempt++) {
            int first = 10_000 + (int) (Math.random() * 20_000);
            boolean free = true;
            for (String address : addresses) {
                for (int port = first; free && port < first + 16; port++) {
                    try (ServerSocket tcp = new ServerSocket(port, 1, loopback(address));
                            DatagramSocket udp = new DatagramSocket(port, loopback(address))) {
                        free = tcp.isBound() && udp.isBound();
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) {
                return first;
            }
        }
        throw new IllegalStateException("no free ports");
    }

    /** The head of an HTTP message. */
    static final class Head {
        String first;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        String get(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) >= 0) {
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            line.write(next);
        }
        if (line.size() == 0) {
            return null;
        }
        throw new EOFException("the channel ended inside a line");
    }

    /** Reads a head; null at the end of the channel. */
    static Head readHead(InputStream in) throws IOException {
        Head head = new Head();
        head.first = readLine(in);
        if (head.first == null) {
            return null;
        }
        String line;
        while ((line = readLine(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            head.headers.merge(line.substring(0, colon), line.substring(colon + 1).trim(), (a, b) -> a + ", " + b);
        }
        if (line == null) {
            throw new EOFException("the channel ended inside a head");
        }
        return head;
    }

    /** Reads a body with a length or in chunks; one that is neither is empty. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.get("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("the channel ended before the last chunk");
                }
                int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
                byte[] chunk = in.readNBytes(bytes);
                if (chunk.length < bytes) {
                    throw new EOFException("the channel ended inside a chunk");
                }
                body.write(chunk);
                String end = readLine(in);
                if (end == null) {
                    throw new EOFException("the channel ended behind a chunk");
                }
                if (bytes == 0) {
                    return body.toByteArray();
                }
            }
        }
        int length = head.get("Content-Length") == null ? 0 : Integer.parseInt(head.get("Content-Length"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the channel ended inside a body");
        }
        return body;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] message(String first, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] start = ascii(head.toString());
        byte[] all = Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    /** A listener with a thread for each channel. */
    abstract static class Listener {
        final ServerSocket socket;
        final Set<Socket> channels = ConcurrentHashMap.newKeySet();

        Listener(String address, int port) {
            try {
                socket = new ServerSocket();
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(loopback(address), port), 200);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        void listen() {
            daemon(() -> {
                while (!socket.isClosed()) {
                    try {
                        Socket channel = socket.accept();
                        channel.setTcpNoDelay(true);
                        channels.add(channel);
                        daemon(() -> {
                            try (channel) {
                                serve(channel, new BufferedInputStream(channel.getInputStream(), 65536),
                                        channel.getOutputStream());
                            } catch (IOException | RuntimeException e) {
                                failed(e);
                            } finally {
                                channels.remove(channel);
                            }
                        });
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        void failed(Exception e) {}

        String address() {
            return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
        }

        abstract void serve(Socket channel, InputStream in, OutputStream out) throws IOException;
    }

    /** The platform's store in the form of a log. */
    static final class Store extends Listener {
        private final Map<String, Topic> topics = new HashMap<>();
        volatile long era = 1;
        volatile boolean down;

        private static final class Topic {
            final List<byte[]> records = new ArrayList<>();
            final LinkedHashMap<String, byte[]> newest = new LinkedHashMap<>();
            final Map<String, Integer> offsets = new HashMap<>();
        }

        Store() {
            super("127.0.0.1", 0);
            listen();
        }

        private Topic topic(String name) {
            return topics.computeIfAbsent(name, key -> new Topic());
        }

        synchronized void put(String topic, String key, String value) {
            byte[] name = ascii(key);
            byte[] content = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
            append(topic, ByteBuffer.allocate(1 + name.length + content.length)
                    .put((byte) name.length).put(name).put(content).array());
        }

        private synchronized void append(String name, byte[] record) {
            Topic topic = topic(name);
            topic.records.add(record);
            if (name.startsWith("keyed.")) {
                int length = record[0] & 255;
                String key = new String(record, 1, length, StandardCharsets.UTF_8);
                byte[] value = Arrays.copyOfRange(record, 1 + length, record.length);
                if (value.length == 0) {
                    topic.newest.remove(key);
                } else {
                    topic.newest.put(key, value);
                    topic.offsets.put(key, topic.records.size() - 1);
                }
            }
            notifyAll();
        }

        @Override
        void serve(Socket channel, InputStream in, OutputStream out) throws IOException {
            Head head;
            while ((head = readHead(in)) != null) {
                byte[] body = readBody(in, head);
                while (down) {
                    sleep(20);
                }
                String[] target = head.first.split(" ")[1].split("\\?", 2);
                Map<String, String> query = new HashMap<>();
                for (String pair : target.length > 1 ? target[1].split("&") : new String[0]) {
                    String[] parts = pair.split("=", 2);
                    query.put(parts[0], parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
                }
                answer(target[0], query, body, out);
            }
        }

        private void answer(String path, Map<String, String> query, byte[] body, OutputStream out) throws IOException {
            String topic = query.getOrDefault("topic", "");
            switch (path) {
                case "/log-newest" -> send(out, 200, newest(topic, query.getOrDefault("after", "")));
                case "/log-read" -> read(topic, query, out);
                case "/log-append" -> appendAll(topic, query, body, out);
                default -> send(out, 404, ascii("{}"));
            }
        }

        private synchronized byte[] newest(String name, String after) {
            Topic topic = topic(name);
            StringBuilder items = new StringBuilder();
            int count = 0;
            boolean more = false;
            for (Map.Entry<String, byte[]> entry : new TreeMap<>(topic.newest).entrySet()) {
                if (entry.getKey().compareTo(after) <= 0 && !after.isEmpty()) {
                    continue;
                }
                if (count++ == 500) {
                    more = true;
                    break;
                }
                items.append(items.length() == 0 ? "" : ",").append("{\"key\":\"").append(entry.getKey())
                        .append("\",\"value\":\"").append(Base64.getEncoder().encodeToString(entry.getValue()))
                        .append("\",\"offset\":").append(topic.offsets.get(entry.getKey())).append("}");
            }
            return ascii("{\"items\":[" + items + "],\"more\":" + more + ",\"end\":" + topic.records.size() + "}");
        }

        private void read(String name, Map<String, String> query, OutputStream out) throws IOException {
            int from = Integer.parseInt(query.getOrDefault("from", "0"));
            long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000L;
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            synchronized (this) {
                Topic topic = topic(name);
                while (from >= topic.records.size() && System.nanoTime() < until) {
                    try {
                        wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                if (from > topic.records.size()) {
                    bytes = null;
                } else {
                    DataOutputStream data = new DataOutputStream(bytes);
                    data.writeLong(topic.records.size());
                    data.writeLong(0);
                    int kb = 0;
                    for (byte[] record : topic.records.subList(from, topic.records.size())) {
                        if (kb + record.length > 1_000_000) {
                            break;
                        }
                        kb += record.length;
                        data.writeInt(record.length);
                        data.write(record);
                    }
                }
            }
            if (bytes == null) {
                send(out, 410, ascii("{\"first\":0}"));
            } else {
                send(out, 200, bytes.toByteArray());
            }
        }

        private void appendAll(String name, Map<String, String> query, byte[] body, OutputStream out)
                throws IOException {
            int status = 200;
            String answer;
            synchronized (this) {
                Topic topic = topic(name);
                int offset = topic.records.size();
                if (query.containsKey("at") && Integer.parseInt(query.get("at")) != offset) {
                    status = 412;
                    answer = "{\"end\":" + offset + "}";
                } else {
                    ByteBuffer bytes = ByteBuffer.wrap(body);
                    while (bytes.hasRemaining()) {
                        byte[] record = new byte[bytes.getInt()];
                        bytes.get(record);
                        append(name, record);
                    }
                    answer = "{\"offset\":" + offset + ",\"end\":" + topic.records.size() + "}";
                }
            }
            send(out, status, ascii(answer));
        }

        private void send(OutputStream out, int status, byte[] body) throws IOException {
            out.write(message("HTTP/1.1 " + status + " X",
                    Map.of("Store-Era", Long.toString(era), "Content-Type", "application/json"), body));
            out.flush();
        }
    }

    /** A backend server that lists itself in the store. */
    static class Server extends Listener {
        final Store store;
        final String id;
        final String service;
        final String zone;
        final String stage;
        final String version;
        final int slots;
        final long born = System.currentTimeMillis();
        final AtomicLong seq = new AtomicLong();
        volatile String state = "ready";
        volatile boolean ended;

        Server(Store store, String address, String id, String service, String zone, String stage, String version,
                int slots) {
            this(store, address, 0, id, service, zone, stage, version, slots);
        }

        /** Creates a server at a port; zero for a free one. */
        Server(Store store, String address, int port, String id, String service, String zone, String stage,
                String version, int slots) {
            super(address, port);
            this.store = store;
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.stage = stage;
            this.version = version;
            this.slots = slots;
        }

        Server start() {
            listen();
            beat();
            daemon(() -> {
                while (!ended) {
                    sleep(1200);
                    if (!ended) {
                        beat();
                    }
                }
            });
            return this;
        }

        void beat() {
            store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address()
                    + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version + "\",\"slots\":" + slots
                    + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0"
                    + (stage.isEmpty() ? "" : ",\"stage\":\"" + stage
                            + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]")
                    + ",\"born\":" + born + ",\"seq\":" + seq.incrementAndGet() + "}");
        }

        @Override
        void serve(Socket channel, InputStream in, OutputStream out) throws IOException {
            Head head;
            while ((head = readHead(in)) != null) {
                byte[] body = readBody(in, head);
                if (!answer(head, body, channel, out)) {
                    return;
                }
            }
        }

        /** Answers one call; returns whether the channel goes on. */
        boolean answer(Head head, byte[] body, Socket channel, OutputStream out) throws IOException {
            String path = head.first.split(" ")[1];
            if (path.equals("/report")) {
                return json(out, "{\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,"
                        + "\"adapters\":[]}],\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0,\"kvUsed\":0,"
                        + "\"kvTotal\":500000,\"kvHandles\":0,\"born\":" + born + "}");
            }
            if (path.startsWith("/kv-events")) {
                return json(out, "{\"epoch\":\"e\",\"next\":0,\"lost\":false,\"events\":[]}");
            }
            if (path.startsWith("/kv-list")) {
                return json(out, "{\"epoch\":\"e\",\"next\":0,\"held\":[]}");
            }
            if (path.equals("/health")) {
                out.write(message("HTTP/1.1 200 OK", Map.of("Instance-Id", id), new byte[0]));
                out.flush();
                return true;
            }
            if (path.startsWith("/kv-handle/")) {
                return json(out, "{}");
            }
            String expected = head.get("Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                out.write(message("HTTP/1.1 421 Misdirected Request", Map.of("Instance-Id", id), new byte[0]));
                out.flush();
                return true;
            }
            if (path.equals("/order")) {
                return json(out, "{}");
            }
            if ("prefill".equals(head.get("Serving-Stage"))) {
                out.write(message("HTTP/1.1 200 OK",
                        Map.of("Request-Id", head.get("Request-Id"), "Content-Type", "application/json"),
                        ascii("{\"kvHandle\":\"h" + seq.incrementAndGet() + "\",\"tokens\":1,\"version\":1}")));
                out.flush();
                return true;
            }
            return run(head, body, channel, out);
        }

        static boolean json(OutputStream out, String text) throws IOException {
            out.write(message("HTTP/1.1 200 OK", Map.of("Content-Type", "application/json"), ascii(text)));
            out.flush();
            return true;
        }

        /** Runs one request of a caller; returns whether the channel goes on. */
        boolean run(Head head, byte[] body, Socket channel, OutputStream out) throws IOException {
            return stage.isEmpty() ? answerPlain(head, out, 20) : answerStream(head, out, 8, 20);
        }

        boolean answerPlain(Head head, OutputStream out, long workMillis) throws IOException {
            sleep(workMillis);
            out.write(message("HTTP/1.1 200 OK", stamped(head), ascii("answer of " + id + " to "
                    + head.get("Request-Id") + "\n")));
            out.flush();
            return true;
        }

        Map<String, String> stamped(Head head) {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Request-Id", head.get("Request-Id"));
            headers.put("Server-Stamp", "s." + id);
            return headers;
        }

        static byte[] event(long number, String text) {
            return ascii("id: " + number + "\ndata: " + text + "\n\n");
        }

        static void chunk(OutputStream out, byte[] bytes) throws IOException {
            out.write(ascii(Integer.toHexString(bytes.length) + "\r\n"));
            out.write(bytes);
            out.write(ascii("\r\n"));
            out.flush();
        }

        void startStream(Head head, OutputStream out) throws IOException {
            out.write(ascii("HTTP/1.1 200 OK\r\nRequest-Id: " + head.get("Request-Id") + "\r\nServer-Stamp: s." + id
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            out.flush();
        }

        boolean answerStream(Head head, OutputStream out, int events, long gapMillis) throws IOException {
            String last = head.get("Last-Event-Id");
            startStream(head, out);
            for (long number = last == null ? 1 : Long.parseLong(last) + 1; number <= events; number++) {
                sleep(gapMillis);
                chunk(out, event(number, "token " + number));
            }
            out.write(ascii("0\r\n\r\n"));
            out.flush();
            return true;
        }

        void end() {
            ended = true;
            try {
                socket.close();
                for (Socket channel : channels) {
                    channel.setSoLinger(true, 0);
                    channel.close();
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** A process of the system, started with the command of the deploy file. */
    static final class Relay {
        final String name;
        final String ip;
        final String zone;
        final int front;
        final int ready;
        final int internal;
        final Store store;
        final Path folder;
        private final Path settings;
        private Process process;

        Relay(String name, String ip, String zone, Store store, int internal) {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            this.store = store;
            this.front = freePort(ip);
            this.ready = freePort(ip);
            this.internal = internal;
            this.folder = Path.of(System.getenv("LAB_TMP"));
            this.settings = folder.resolve(name + ".conf");
        }

        static String command() throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = ")) {
                    return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            throw new IllegalStateException("no run line");
        }

        Relay start(boolean bootstrap) throws IOException {
            Files.writeString(settings, String.join("\n", "nodeName=" + name, "role=relay", "machineClass=front",
                    "serves=front", "ip=" + ip, "zone=" + zone, "region=r1", "zones.z1=r1", "zones.z2=r1",
                    "zones.z3=r1", "listen.front=" + ip + ":" + front, "listen.ready=" + ip + ":" + ready,
                    "internalPorts=" + internal + "," + (internal + 15), "seeds=", "bootstrap=" + bootstrap,
                    "lossCounted=false", "limits.cpuShare=0.75", "limits.cores=1", "limits.memoryMb=430",
                    "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform",
                    "entry=vip", "heartbeatMs=1200",
                    "contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform",
                    "faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
                    "bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000",
                    "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200",
                    "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000",
                    "bounds.budgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetExtra=52",
                    "bounds.recoverS=12", "bounds.transitMs=120", "bounds.reuseWindowS=10",
                    "bounds.fencingEnforced=false", "bounds.leaseMs=3000", "bounds.thawMs=300",
                    "platform.address=" + store.address(), "platform.form=log", "platform.writesPerS=400",
                    "platform.readsPerS=2000", "platform.parts=16", "platform.appendMs=3.0",
                    "platform.partitionMbS=20.0", "platform.readMbS=80.0", "platform.recordBytes=262144",
                    "platform.callBytes=2097152", "platform.keep_s=300", "platform.partMb=200",
                    "platform.ttlMinMs=1000", ""));
            ProcessBuilder builder = new ProcessBuilder(command().split(" "));
            builder.environment().put("VERBENATRAY_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            note(name + " started, process " + process.pid());
            return this;
        }

        long pid() {
            return process.pid();
        }

        boolean alive() {
            return process.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }

        void signal(String signal) throws IOException {
            note("signal " + signal + " to " + name);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        boolean isReady() {
            try {
                return call(ip, ready, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 1000).status() == 200;
            } catch (IOException | RuntimeException e) {
                return false;
            }
        }

        void awaitReady(long millis) {
            long until = millis() + millis;
            while (!isReady()) {
                if (millis() > until || !process.isAlive()) {
                    unusable(name + " did not become ready");
                }
                sleep(100);
            }
            note(name + " is ready");
        }

        void kill() {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        /** Returns the last lines of the log of the process. */
        String logTail(int lines) {
            try {
                List<String> all = Files.readAllLines(folder.resolve(name + ".log"), StandardCharsets.ISO_8859_1);
                return String.join("\n", all.subList(Math.max(0, all.size() - lines), all.size()));
            } catch (IOException e) {
                return e.toString();
            }
        }
    }

    /** Ends the script because the case could not run. */
    static void unusable(String why) {
        note("the case could not run: " + why);
        System.out.println("the case could not run: " + why);
        System.exit(2);
    }

    /** Ends the script. */
    static void verdict(boolean broken, String text) {
        note((broken ? "BROKEN: " : "held: ") + text);
        System.out.println((broken ? "BROKEN: " : "held: ") + text);
        System.exit(broken ? 1 : 0);
    }

    static Head call(String address, int port, String request, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(loopback(address), port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(ascii(request));
            Head head = readHead(new BufferedInputStream(socket.getInputStream()));
            if (head == null) {
                throw new EOFException("no answer");
            }
            return head;
        }
    }

    static String route(String name, String prefix, String kind, long timeoutMs, long targetMs, int attempts,
            boolean resumable, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"pathPrefix\":\"/" + prefix + "/\",\"kind\":\""
                + kind + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":" + targetMs
                + ",\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":" + attempts
                + (kind.equals("streaming") ? ",\"stickySessions\":true,\"targetGapMs\":250" : "")
                + ",\"resumable\":" + resumable + "}";
    }

    /** The configuration of a small deployment: the four kinds of request of the site hunar-pass. */
    static String configuration(long version, String... moreRoutes) {
        List<String> routes = new ArrayList<>(List.of(
                route("r-review", "review", "streaming", 8000, 800, 1, false, "llm"),
                route("r-check", "check", "streaming", 4000, 400, 2, true, "llm"),
                route("r-issue", "issue", "unsafe", 1500, 386, 1, false, "app"),
                route("r-read", "read", "safe", 1500, 386, 2, false, "app")));
        routes.addAll(List.of(moreRoutes));
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
                + "],\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":96},"
                + "{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConnections\":360,\"engine\":{\"slots\":64,"
                + "\"kvTokens\":508944,\"kvTokenBytes\":35136,\"handleTtlS\":5.0}}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,"
                + "\"idleTimeoutMs\":15000}}";
    }

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffff);

    static String newId() {
        return Long.toHexString(0x9c41d00000000000L + IDS.incrementAndGet());
    }

    /** One caller's attempt and what it got. */
    static final class Attempt {
        final String id = newId();
        Head head;
        byte[] body;
        long millis;
        /** How the channel ended if there is no complete answer. */
        String failure;

        boolean complete() {
            return body != null;
        }

        String outcome() {
            return (head == null ? "-" : Integer.toString(head.status())) + (complete() ? "" : " " + failure);
        }
    }

    static String request(String method, String path, String id, long deadlineMs, Map<String, String> more, int length) {
        StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: " + deadlineMs + "\r\n");
        more.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        if (!method.equals("GET")) {
            text.append("Content-Length: ").append(length).append("\r\n");
        }
        return text.append("\r\n").toString();
    }

    /** Sends one request on a new channel and reads its answer. */
    static Attempt send(String address, int port, String method, String path, long deadlineMs,
            Map<String, String> more, byte[] body) {
        Attempt attempt = new Attempt();
        long begin = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(loopback(address), port), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) deadlineMs + 2000);
            OutputStream out = socket.getOutputStream();
            out.write(ascii(request(method, path, attempt.id, deadlineMs, more, body.length)));
            out.write(body);
            out.flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            attempt.head = readHead(in);
            if (attempt.head == null) {
                throw new EOFException("closed without an answer");
            }
            attempt.body = readBody(in, attempt.head);
        } catch (IOException e) {
            attempt.failure = e.getClass().getSimpleName() + " " + e.getMessage();
        }
        attempt.millis = (System.nanoTime() - begin) / 1_000_000;
        return attempt;
    }

    static Map<String, String> prompt(int tokens, int output, String part) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Model", "m");
        headers.put("Token-Count", tokens + "," + output);
        headers.put("Prompt-Prefix", "5c1e07a2:" + tokens / 2 + "," + part + ":" + (tokens - tokens / 2));
        return headers;
    }
}
