package org.verbenatray.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server on raw sockets that answers each request at its head, without a length, writes a part of the body
 * and ends the connection without having read the body of the request.
 */
final class EarlyServer implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    private final ServerSocket listener;

    private final End end;

    /** The connections accepted. */
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    /** The number of uploads answered. */
    private final AtomicInteger answeredUploads = new AtomicInteger();

    private EarlyServer(End end) throws IOException {
        this.end = end;
        this.listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Thread acceptor = new Thread(this::serve, "early-server");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Starts a server on a port chosen by the OS. */
    static EarlyServer start(End end) throws IOException {
        return new EarlyServer(end);
    }

    /** Returns the address as host:port. */
    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns the number of uploads answered so far; polls do not count. */
    int answeredUploads() {
        return answeredUploads.get();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    private void serve() {
        while (!listener.isClosed()) {
            try {
                answer(listener.accept());
            } catch (IOException e) {
                // Expected: the listener is closed, or the peer has closed the connection.
            }
        }
    }

    private void answer(Socket connection) throws IOException {
        connections.add(connection);
        String head = readHead(connection.getInputStream());
        String id = head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("request-id:"))
                .findFirst()
                .orElse("X-Id: none");
        RelayFixture.send(connection, "HTTP/1.1 200 OK\r\n" + id + "\r\nServer-Stamp: mark\r\n\r\npart");
        if (head.startsWith("POST")) {
            answeredUploads.incrementAndGet();
        }
        end.apply(connection);
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended inside the head");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** How a server ends a connection behind the part of its answer. */
    enum End {
        /** Resets the connection. */
        RESET {
            @Override
            void apply(Socket connection) throws IOException {
                connection.setSoLinger(true, 0);
                connection.close();
            }
        },
        /** Ends its side and resets the connection, as bytes of the request were not read. */
        END_AND_RESET {
            @Override
            void apply(Socket connection) throws IOException {
                connection.shutdownOutput();
                connection.close();
            }
        },
        /** Ends its side and keeps the connection without reading on. */
        END_ONLY {
            @Override
            void apply(Socket connection) throws IOException {
                connection.shutdownOutput();
            }
        };

        /** Ends a connection. */
        abstract void apply(Socket connection) throws IOException;
    }
}
