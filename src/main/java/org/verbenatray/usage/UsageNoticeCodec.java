package org.verbenatray.usage;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.verbenatray.datagrams.Datagrams;

/** Encodes and decodes notices of counts as protobuf messages; unknown fields are skipped. */
final class UsageNoticeCodec {
    /** First in each notice, and in no other kind of datagram on the same port. */
    private static final int INSTANCE = 10;

    private static final int INCARNATION = 2;

    private static final int UNTIL_MILLIS = 3;

    private static final int ASKS_FOR_COUNTS = 4;

    /** The window of the counts that follow. */
    private static final int WINDOW = 5;

    /** The customer of the count that follows. */
    private static final int CUSTOMER = 6;

    private static final int COUNT = 7;

    private static final int CLOCK_CORRECTION_MILLIS = 8;

    private static final int FIRST_BYTE = INSTANCE << 3 | WireFormat.WIRETYPE_LENGTH_DELIMITED;

    private UsageNoticeCodec() {}

    /** Returns whether a datagram holds a notice. */
    static boolean recognizes(byte[] datagram) {
        return Datagrams.beginsWith(datagram, FIRST_BYTE);
    }

    /** Encodes a notice. */
    static byte[] encode(UsageNotice notice) {
        return Datagrams.write(out -> {
            out.writeString(INSTANCE, notice.instance());
            out.writeUInt64(INCARNATION, notice.incarnation());
            out.writeUInt64(UNTIL_MILLIS, notice.untilMillis());
            out.writeBool(ASKS_FOR_COUNTS, notice.asksForCounts());
            if (notice.clockCorrectionMillis() != 0) {
                out.writeSInt64(CLOCK_CORRECTION_MILLIS, notice.clockCorrectionMillis());
            }
            for (Map.Entry<Long, Map<String, Integer>> window :
                    notice.countsByWindow().entrySet()) {
                out.writeUInt64(WINDOW, window.getKey());
                for (Map.Entry<String, Integer> count : window.getValue().entrySet()) {
                    out.writeString(CUSTOMER, count.getKey());
                    out.writeUInt32(COUNT, count.getValue());
                }
            }
        });
    }

    /**
     * Decodes a notice.
     *
     * @throws IOException if the bytes are not a valid notice
     */
    static UsageNotice decode(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String instance = "";
        long incarnation = 0;
        long untilMillis = 0;
        boolean asksForCounts = false;
        long clockCorrectionMillis = 0;
        long window = 0;
        String customer = "";
        Map<Long, Map<String, Integer>> countsByWindow = new HashMap<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case INSTANCE -> instance = in.readString();
                case INCARNATION -> incarnation = in.readUInt64();
                case UNTIL_MILLIS -> untilMillis = in.readUInt64();
                case ASKS_FOR_COUNTS -> asksForCounts = in.readBool();
                case CLOCK_CORRECTION_MILLIS -> clockCorrectionMillis = in.readSInt64();
                case WINDOW -> window = in.readUInt64();
                case CUSTOMER -> customer = in.readString();
                case COUNT ->
                    countsByWindow
                            .computeIfAbsent(window, key -> new HashMap<>())
                            .put(customer, in.readUInt32());
                default -> in.skipField(tag);
            }
        }
        return new UsageNotice(
                instance, incarnation, untilMillis, asksForCounts, countsByWindow, clockCorrectionMillis);
    }
}
