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

/** Sends and receives datagrams on the thread of a worker; those that find no room are dropped. */
public final class DatagramPort implements AutoCloseable {
    /** The size of the largest datagram in bytes. */
    private static final int MAX_DATAGRAM_BYTES = 8 * 1024;

    /** The log. */
    private static final Logger log = System.getLogger(DatagramPort.class.getName());

    /** The channel. */
    private final MulticastMessageChannel channel;

    /** Where a datagram is read into. */
    private final ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);

    /** Whether the last datagram could not be sent. */
    private boolean failing;

    /** Creates a port. */
    private DatagramPort(MulticastMessageChannel channel) {
        this.channel = channel;
    }

    /** Opens a port that passes each datagram on; fails with an {@link IOException} where the address is taken. */
    public static DatagramPort open(XnioWorker worker, InetSocketAddress address, Consumer<byte[]> receiver)
            throws IOException {
        DatagramPort port = new DatagramPort(worker.createUdpServer(address, OptionMap.EMPTY));
        port.channel.getReadSetter().set(ready -> port.receive(receiver));
        port.channel.resumeReads();
        return port;
    }

    /** Returns the port number. */
    public int number() {
        return channel.getLocalAddress(InetSocketAddress.class).getPort();
    }

    /** Sends a datagram. */
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

    /** Reads all datagrams that have come. */
    private void receive(Consumer<byte[]> receiver) {
        try {
            buffer.clear();
            while (channel.receiveFrom(null, buffer) > 0) {
                buffer.flip();
                byte[] datagram = new byte[buffer.remaining()];
                buffer.get(datagram);
                receiver.accept(datagram);
                buffer.clear();
            }
        } catch (IOException e) {
            Event.named("datagram_not_received").with("why", e.getMessage()).log(log, Level.WARNING);
        }
    }

    @Override
    public void close() {
        IoUtils.safeClose(channel);
    }
}
