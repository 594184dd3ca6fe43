package org.verbenatray.continuation;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.verbenatray.datagrams.Datagrams;

/** Encodes and decodes messages about origins as protobuf; unknown fields are skipped. */
final class OriginMessageCodec {
    private static final int REQUEST_ID = 1;

    private static final int SOFTWARE_VERSION = 2;

    private static final int SERVER_ID = 3;

    private static final int STARTED_MILLIS = 4;

    private static final int SERVICE = 5;

    /** The address of the sender as host:port. */
    private static final int SENDER = 6;

    /** The kind of message; first in each message, and in no other kind of datagram on the same port. */
    private static final int KIND = 15;

    private static final int KIND_TOLD = 1;

    private static final int KIND_ASKED = 2;

    private static final int KIND_UNKNOWN = 3;

    private static final int FIRST_BYTE = KIND << 3;

    private OriginMessageCodec() {}

    /** Returns whether a datagram holds such a message. */
    static boolean recognizes(byte[] datagram) {
        return Datagrams.beginsWith(datagram, FIRST_BYTE);
    }

    /** Encodes a message. */
    static byte[] encode(OriginMessage message) {
        return Datagrams.write(out -> write(message, out));
    }

    private static void write(OriginMessage message, CodedOutputStream out) throws IOException {
        if (message instanceof OriginMessage.Told told) {
            out.writeUInt32(KIND, KIND_TOLD);
            out.writeString(REQUEST_ID, told.requestId());
            out.writeString(SOFTWARE_VERSION, told.origin().softwareVersion());
            out.writeString(SERVER_ID, told.origin().serverId());
            out.writeUInt64(STARTED_MILLIS, told.origin().startedMillis());
        } else if (message instanceof OriginMessage.Asked asked) {
            out.writeUInt32(KIND, KIND_ASKED);
            out.writeString(REQUEST_ID, asked.requestId());
            out.writeString(SERVICE, asked.service());
            out.writeString(SENDER, text(asked.replyTo()));
        } else if (message instanceof OriginMessage.Unknown unknown) {
            out.writeUInt32(KIND, KIND_UNKNOWN);
            out.writeString(REQUEST_ID, unknown.requestId());
            out.writeString(SOFTWARE_VERSION, unknown.soleVersion());
            out.writeString(SENDER, text(unknown.from()));
        }
    }

    /**
     * Decodes a message.
     *
     * @throws IOException if the bytes are not a valid message
     */
    static OriginMessage decode(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        Map<Integer, String> texts = new HashMap<>();
        int kind = 0;
        long startedMillis = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            switch (field) {
                case KIND -> kind = in.readUInt32();
                case STARTED_MILLIS -> startedMillis = in.readUInt64();
                case REQUEST_ID, SOFTWARE_VERSION, SERVER_ID, SERVICE, SENDER -> texts.put(field, in.readString());
                default -> in.skipField(tag);
            }
        }
        return message(kind, texts, startedMillis);
    }

    private static OriginMessage message(int kind, Map<Integer, String> texts, long startedMillis) throws IOException {
        String requestId = texts.getOrDefault(REQUEST_ID, "");
        String version = texts.getOrDefault(SOFTWARE_VERSION, "");
        return switch (kind) {
            case KIND_TOLD ->
                new OriginMessage.Told(
                        new StreamOrigin(requestId, version, texts.getOrDefault(SERVER_ID, ""), startedMillis));
            case KIND_ASKED ->
                new OriginMessage.Asked(requestId, texts.getOrDefault(SERVICE, ""), address(texts.get(SENDER)));
            case KIND_UNKNOWN -> new OriginMessage.Unknown(requestId, version, address(texts.get(SENDER)));
            default -> throw new IOException("unknown kind " + kind);
        };
    }

    private static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private static InetSocketAddress address(String text) throws IOException {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon < 0) {
            throw new IOException("no address in the message");
        }
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed address " + text, e);
        }
    }
}
