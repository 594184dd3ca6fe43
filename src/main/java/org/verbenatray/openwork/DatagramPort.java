package org.verbenatray.openwork;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.verbenatray.telemetry.Event;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;

/**
 * A UDP port that sends and receives datagrams without blocking, on the I/O thread of a worker.
 *
 * <p>Datagrams that do not fit into the send or receive buffer of the socket are dropped.
 */
public final class DatagramPort implements AutoCloseable {
    private static final int MAX_DATAGRAM_BYTES = 8 * 1024;

    private static final Logger log = System.getLogger(DatagramPort.class.getName());

    private final MulticastMessageChannel channel;

    /** The receive buffer, used on the I/O thread only. */
    private final ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);

    /** True if the last datagram could not be sent; limits the log to one line for consecutive failures. */
    private boolean failing;

    private DatagramPort(MulticastMessageChannel channel) {
        this.channel = channel;
    }

    /**
     * Opens a port that passes each received datagram to the receiver.
     *
     * @throws IOException if the port cannot be opened, for example because the address is in use
     */
    public static DatagramPort open(XnioWorker worker, InetSocketAddress address, Consumer<byte[]> receiver)
            throws IOException {
        DatagramPort port = new DatagramPort(worker.createUdpServer(address, OptionMap.EMPTY));
        port.channel.getReadSetter().set(ready -> port.receive(receiver));
        port.channel.resumeReads();
        return port;
    }

    /** Returns the port number. */
    public int portNumber() {
        return channel.getLocalAddress(InetSocketAddress.class).getPort();
    }

    /** Sends a datagram; a failure is logged, not thrown. */
    public void send(InetSocketAddress to, byte[] datagram) {
        try {
            channel.sendTo(to, ByteBuffer.wrap(datagram));
            failing = false;
        } catch (IOException e) {
            if (!failing) {
                Event.named("datagram_not_sent")
                        .with("to", to)
                        .with("why", e.getMessage())
                        .log(log, Level.WARNING);
            }
            failing = true;
        }
    }

    /** Reads all datagrams that have arrived. */
    private void receive(Consumer<byte[]> receiver) {
        try {
            buffer.clear();
            while (channel.receiveFrom(null, buffer) > 0) {
                buffer.flip();
                byte[] datagram = new byte[buffer.remaining()];
                buffer.get(datagram);
                pass(datagram, receiver);
                buffer.clear();
            }
        } catch (IOException e) {
            Event.named("datagram_not_received").with("why", e.getMessage()).log(log, Level.WARNING);
        }
    }

    /** Passes a datagram on; one that cannot be processed is logged and dropped, and the next ones are read. */
    private static void pass(byte[] datagram, Consumer<byte[]> receiver) {
        try {
            receiver.accept(datagram);
        } catch (RuntimeException e) {
            Event.named("datagram_not_processed")
                    .with("bytes", datagram.length)
                    .with("why", e)
                    .log(log, Level.ERROR);
        }
    }

    @Override
    public void close() {
        IoUtils.safeClose(channel);
    }
}
