import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on blocking sockets, one thread per connection. */
final class Http {
    private Http() {}

    /** A request or a response: the first line, the headers with names in lower case, and the body. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        String query(String name) {
            int mark = target().indexOf('?');
            if (mark >= 0) {
                for (String pair : target().substring(mark + 1).split("&")) {
                    if (pair.startsWith(name + "=")) {
                        return pair.substring(name.length() + 1);
                    }
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles one request; writes its response to the connection. */
    interface Handler {
        void handle(Message request, Connection connection) throws Exception;
    }

    /** A server that listens on one loopback address. */
    static final class Server implements Closeable {
        private final ServerSocket socket;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        /** While false, each new connection is closed at once. */
        private volatile boolean answering = true;

        Server(String host, int port, Handler handler) throws IOException {
            this.handler = handler;
            this.socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(host, port), 1024);
            start(this::accept);
        }

        String address() {
            return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
        }

        int port() {
            return socket.getLocalPort();
        }

        /** Closes all connections, and the new ones too, until it answers again. */
        void setAnswering(boolean on) {
            answering = on;
            if (!on) {
                open.forEach(Http::closeQuietly);
            }
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket accepted = socket.accept();
                    if (!answering) {
                        accepted.close();
                        continue;
                    }
                    accepted.setTcpNoDelay(true);
                    open.add(accepted);
                    start(() -> serve(accepted));
                } catch (IOException e) {
                    // The server is closed, or the peer has gone.
                }
            }
        }

        private void serve(Socket accepted) {
            try (accepted) {
                InputStream in = new BufferedInputStream(accepted.getInputStream(), 16 * 1024);
                Connection connection = new Connection(accepted);
                for (Message next = read(in); next != null && !connection.closing; next = read(in)) {
                    handler.handle(next, connection);
                    if (connection.closing) {
                        return;
                    }
                }
            } catch (Exception e) {
                // The connection has ended.
            } finally {
                open.remove(accepted);
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
            open.forEach(Http::closeQuietly);
        }
    }

    /** The server's end of a connection. */
    static final class Connection {
        final Socket socket;
        private final OutputStream out;
        boolean closing;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        /** Sends a response with a length. */
        void send(int status, Map<String, String> headers, byte[] body) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            write(bytes.toByteArray());
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }
    }

    /** Reads a message with a length or in chunks; returns null at the end of the input. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        while (first != null && first.isEmpty()) {
            first = line(in);
        }
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        byte[] body = new byte[0];
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new IOException("the body ends early");
            }
        } else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = size(in); size > 0; size = size(in)) {
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) {
                    throw new IOException("a chunk ends early");
                }
                all.write(chunk);
                line(in);
            }
            line(in);
            body = all.toByteArray();
        }
        return new Message(first, headers, body);
    }

    private static int size(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new IOException("the chunks end early");
        }
        return Integer.parseInt(line.split(";")[0].strip(), 16);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Sends one request on a new connection and returns the response. */
    static Message call(
            String address, String method, String target, Map<String, String> headers, byte[] body, int timeoutMillis)
            throws IOException {
        String host = address.substring(0, address.lastIndexOf(':'));
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || !method.equals("GET")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            Message answer = read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) {
                throw new IOException("the connection was closed without an answer");
            }
            return answer;
        }
    }

    static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
