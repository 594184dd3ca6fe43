package org.verbenatray.limits;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.verbenatray.datagrams.Datagrams;

/** Encodes and decodes notices as protobuf messages; unknown fields are skipped. */
final class LimitNoticeCodec {
    /** First in each notice, and in no other kind of datagram on the same port. */
    private static final int INSTANCE = 14;

    private static final int INCARNATION = 2;

    /** A nested message with one report. */
    private static final int REPORT = 3;

    private static final int BOOT = 1;

    /** Missing if the server states no limit. */
    private static final int REQUESTS_PER_SECOND = 2;

    private static final int AGE_MILLIS = 3;

    private static final int SENT = 4;

    private static final int FIRST_BYTE = INSTANCE << 3 | WireFormat.WIRETYPE_LENGTH_DELIMITED;

    private LimitNoticeCodec() {}

    /** Returns whether a datagram holds a notice. */
    static boolean recognizes(byte[] datagram) {
        return Datagrams.beginsWith(datagram, FIRST_BYTE);
    }

    /** Encodes a notice. */
    static byte[] encode(LimitNotice notice) {
        return Datagrams.write(out -> {
            out.writeString(INSTANCE, notice.instance());
            out.writeUInt64(INCARNATION, notice.incarnation());
            for (LimitNotice.Report report : notice.reports()) {
                out.writeByteArray(REPORT, encodeReport(report));
            }
        });
    }

    /**
     * Decodes a notice.
     *
     * @throws IOException if the bytes are not a valid notice
     */
    static LimitNotice decode(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String instance = "";
        long incarnation = 0;
        List<LimitNotice.Report> reports = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case INSTANCE -> instance = in.readString();
                case INCARNATION -> incarnation = in.readUInt64();
                case REPORT -> reports.add(decodeReport(in.readByteArray()));
                default -> in.skipField(tag);
            }
        }
        return new LimitNotice(instance, incarnation, reports);
    }

    private static byte[] encodeReport(LimitNotice.Report report) {
        return Datagrams.write(out -> {
            out.writeString(BOOT, report.boot());
            if (report.requestsPerSecond().isPresent()) {
                out.writeDouble(REQUESTS_PER_SECOND, report.requestsPerSecond().getAsDouble());
            }
            out.writeUInt64(AGE_MILLIS, report.ageMillis());
            out.writeUInt64(SENT, report.sent());
        });
    }

    private static LimitNotice.Report decodeReport(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String boot = "";
        OptionalDouble requestsPerSecond = OptionalDouble.empty();
        long ageMillis = 0;
        long sent = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case BOOT -> boot = in.readString();
                case REQUESTS_PER_SECOND -> requestsPerSecond = OptionalDouble.of(in.readDouble());
                case AGE_MILLIS -> ageMillis = in.readUInt64();
                case SENT -> sent = in.readUInt64();
                default -> in.skipField(tag);
            }
        }
        return new LimitNotice.Report(boot, requestsPerSecond, ageMillis, sent);
    }
}
