package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** A backend server on raw sockets that responds byte by byte as a script defines. */
final class ScriptedServer implements AutoCloseable {
    private final ServerSocket listener;

    /** Accepts the connections, until the listener is closed. */
    private final Thread acceptor;

    /** Handles each request. */
    private volatile Script script;

    /** The requests received, in order. */
    private final List<Request> requests = new CopyOnWriteArrayList<>();

    private volatile boolean crashed;

    /** Called with each connection when it was accepted. */
    private volatile Consumer<Socket> acceptListener = connection -> {};

    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    /** The connections that the peer closed. */
    private final List<Socket> closedByPeer = new CopyOnWriteArrayList<>();

    private ScriptedServer(Script script, int port) throws IOException {
        this.script = script;
        this.listener = new ServerSocket();
        this.listener.setReuseAddress(true);
        this.listener.bind(new InetSocketAddress("127.0.0.1", port), 100);
        this.acceptor = new Thread(this::accept, "scripted-server");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Starts a server on a port chosen by the OS. */
    static ScriptedServer start(Script script) throws IOException {
        return new ScriptedServer(script, 0);
    }

    /** Starts a server on the port of one that has ended. */
    static ScriptedServer startAt(int port, Script script) throws IOException {
        return new ScriptedServer(script, port);
    }

    /** Replaces the script for the requests from now on. */
    void setScript(Script newScript) {
        script = newScript;
    }

    /** Returns the address as host:port. */
    String address() {
        return "127.0.0.1:" + port();
    }

    /** Returns the port. */
    int port() {
        return listener.getLocalPort();
    }

    /** Returns the requests received so far, in order. */
    List<Request> requests() {
        return requests;
    }

    /** Sets what happens to each connection when it was accepted. */
    void onAccept(Consumer<Socket> listener) {
        acceptListener = listener;
    }

    /** Returns the number of connections that neither side has closed. */
    long openCount() {
        return connections.stream()
                .filter(connection -> !connection.isClosed() && !closedByPeer.contains(connection))
                .count();
    }

    /** Returns the number of connections accepted so far. */
    int connectionCount() {
        return connections.size();
    }

    /** Returns the number of connections that the peer closed. */
    int closedByPeerCount() {
        return closedByPeer.size();
    }

    /** Returns whether a write fails on every connection that the peer closed. */
    boolean writesToClosedFail() {
        for (Socket connection : closedByPeer) {
            try {
                connection.getOutputStream().write('x');
                return false;
            } catch (IOException e) {
                // Expected: the peer has closed both directions.
            }
        }
        return true;
    }

    /** Returns whether the server has crashed. */
    boolean crashed() {
        return crashed;
    }

    /** Resets all connections and accepts no more. */
    void crash() throws IOException {
        crashed = true;
        closeListener();
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
    }

    @Override
    public void close() throws IOException {
        closeListener();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    /** Closes the listener and waits for the thread that accepts: until it returns, one more connection is accepted. */
    private void closeListener() throws IOException {
        listener.close();
        try {
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns a complete response to a request, without the stamp of a server. */
    static byte[] response(Request request, int status, String extraHeaders, String body) {
        return ("HTTP/1.1 " + status + " Status\r\nRequest-Id: " + request.header("request-id") + "\r\n" + extraHeaders
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns a complete response of status 200 with the stamp of a server. */
    static byte[] okResponse(Request request, String body) {
        return response(request, 200, "Server-Stamp: mark\r\n", body);
    }

    /** Returns the head of a response with neither length nor chunks, which ends with its connection. */
    static byte[] headWithoutLength(Request request) {
        return ("HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("request-id") + "\r\nServer-Stamp: mark\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns a refusal without running the request, with neither length nor chunks. */
    static byte[] refusalWithoutLength(Request request) {
        return ("HTTP/1.1 503 Full\r\nRequest-Id: " + request.header("request-id") + "\r\nNot-Run: 1\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the head of an event stream with the stamp of a server. */
    static byte[] streamHead(Request request) {
        return ("HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("request-id")
                        + "\r\nServer-Stamp: mark\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the head of an event stream with neither a length nor chunks, which ends with its connection. */
    static byte[] streamHeadWithoutLength(Request request) {
        return new String(streamHead(request), StandardCharsets.ISO_8859_1)
                .replace("Transfer-Encoding: chunked\r\n", "")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns one event. */
    static byte[] event(int id, String data) {
        return ("id: " + id + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns a chunk that holds one event. */
    static byte[] eventChunk(int id, String data) {
        return chunk(new String(event(id, data), StandardCharsets.ISO_8859_1));
    }

    /** Returns a chunk that holds the given text. */
    static byte[] chunk(String text) {
        return (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the chunk that ends a stream. */
    static byte[] lastChunk() {
        return "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                connections.add(connection);
                acceptListener.accept(connection);
                Thread server = new Thread(() -> serve(connection), "scripted-connection");
                server.setDaemon(true);
                server.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            for (Request request = read(in); request != null; request = read(in)) {
                requests.add(request);
                script.serve(request, connection, connection.getOutputStream());
                connection.getOutputStream().flush();
            }
            closedByPeer.add(connection);
        } catch (IOException e) {
            closedByPeer.add(connection);
        }
    }

    /** Returns the next request with its body; null at the end of the connection. */
    private static Request read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null || line.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Request(line, headers, new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            bytes.write(next);
        }
        return null;
    }

    /** Behaviour of the server for a request. */
    @FunctionalInterface
    interface Script {
        /** Handles a request; if it returns without a response, the connection stays open without any data. */
        void serve(Request request, Socket connection, OutputStream out) throws IOException;
    }

    /**
     * A received request.
     *
     * @param line the request line
     * @param headers the header values by lower-case name
     * @param body the body
     */
    record Request(String line, Map<String, String> headers, String body) {
        /** Returns the value of a header; empty if it is missing. */
        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }
}
