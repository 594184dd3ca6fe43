import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A path between a relay and another process that can be cut: bytes and new connections are then held up, unanswered. */
final class Proxy implements Closeable {
    private final ServerSocket socket;
    private final String host;
    private final int port;
    private final Object change = new Object();
    private boolean cut;

    Proxy(String listenHost, String target) throws IOException {
        this.host = target.substring(0, target.lastIndexOf(':'));
        this.port = Integer.parseInt(target.substring(target.lastIndexOf(':') + 1));
        this.socket = new ServerSocket();
        socket.bind(new InetSocketAddress(listenHost, 0), 256);
        Http.start(this::accept);
    }

    String address() {
        return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    void setCut(boolean on) {
        synchronized (change) {
            cut = on;
            change.notifyAll();
        }
    }

    private void awaitPath() throws InterruptedException {
        synchronized (change) {
            while (cut) {
                change.wait();
            }
        }
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket near = socket.accept();
                Http.start(() -> connect(near));
            } catch (IOException e) {
                // The proxy is closed.
            }
        }
    }

    private void connect(Socket near) {
        try {
            awaitPath();
            Socket far = new Socket(host, port);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Http.start(() -> pass(near, far));
            pass(far, near);
        } catch (IOException | InterruptedException e) {
            Http.closeQuietly(near);
        }
    }

    private void pass(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[16 * 1024];
            for (int count = in.read(buffer); count > 0; count = in.read(buffer)) {
                awaitPath();
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // One of the ends has gone.
        }
        Http.closeQuietly(from);
        Http.closeQuietly(to);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
