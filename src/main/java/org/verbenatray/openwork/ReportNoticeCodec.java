package org.verbenatray.openwork;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.verbenatray.backends.BackendLoad;
import org.verbenatray.backends.CacheChanges;
import org.verbenatray.backends.EngineReport;
import org.verbenatray.datagrams.Datagrams;

/** Encodes and decodes notices of what engines report as protobuf messages; unknown fields are skipped. */
final class ReportNoticeCodec {
    /** First in each notice, and in no other kind of datagram on the same port. */
    private static final int INSTANCE = 15;

    /** A nested message with one report. */
    private static final int REPORT = 2;

    /** A nested message with one sample of the speed of an engine. */
    private static final int SPEED = 3;

    private static final int GAP_MILLIS = 2;

    private static final int BOOT = 1;
    private static final int AGO_MILLIS = 2;
    private static final int ANSWERED = 3;

    /** A nested message with the load. */
    private static final int LOAD = 4;

    /** A nested message with changes of the prefix cache. */
    private static final int CHANGES = 5;

    private static final int EPOCH = 1;
    private static final int NEXT = 2;
    private static final int GAP = 3;

    /** The block of a change; its tokens follow. */
    private static final int BLOCK = 4;

    private static final int TOKENS = 5;

    private static final int FIRST_BYTE = INSTANCE << 3 | WireFormat.WIRETYPE_LENGTH_DELIMITED;

    private ReportNoticeCodec() {}

    /** Returns whether a datagram holds a notice. */
    static boolean recognizes(byte[] datagram) {
        return Datagrams.beginsWith(datagram, FIRST_BYTE);
    }

    /** Encodes a notice of encoded reports and of samples. */
    static byte[] encode(String instance, List<byte[]> reports, List<SpeedSample> samples) {
        return Datagrams.write(out -> {
            out.writeString(INSTANCE, instance);
            for (byte[] report : reports) {
                out.writeByteArray(REPORT, report);
            }
            for (SpeedSample sample : samples) {
                out.writeByteArray(SPEED, encodeSample(sample));
            }
        });
    }

    private static byte[] encodeSample(SpeedSample sample) {
        return Datagrams.write(out -> {
            out.writeString(BOOT, sample.boot());
            out.writeDouble(GAP_MILLIS, sample.gapMillis());
        });
    }

    private static SpeedSample decodeSample(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String boot = "";
        double gapMillis = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case BOOT -> boot = in.readString();
                case GAP_MILLIS -> gapMillis = in.readDouble();
                default -> in.skipField(tag);
            }
        }
        return new SpeedSample(boot, gapMillis);
    }

    /** Encodes one report. */
    static byte[] encodeReport(EngineReport report) {
        return Datagrams.write(out -> {
            out.writeString(BOOT, report.boot());
            out.writeUInt64(AGO_MILLIS, report.agoMillis());
            out.writeBool(ANSWERED, report.answered());
            if (report.load().isPresent()) {
                out.writeByteArray(LOAD, encodeLoad(report.load().get()));
            }
            if (report.changes().isPresent()) {
                out.writeByteArray(CHANGES, encodeChanges(report.changes().get()));
            }
        });
    }

    /**
     * Decodes a notice.
     *
     * @throws IOException if the bytes are not a valid notice
     */
    static Notice decode(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String instance = "";
        List<EngineReport> reports = new ArrayList<>();
        List<SpeedSample> samples = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case INSTANCE -> instance = in.readString();
                case REPORT -> reports.add(decodeReport(in.readByteArray()));
                case SPEED -> samples.add(decodeSample(in.readByteArray()));
                default -> in.skipField(tag);
            }
        }
        return new Notice(instance, reports, samples);
    }

    private static EngineReport decodeReport(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String boot = "";
        long agoMillis = 0;
        boolean answered = false;
        Optional<BackendLoad> load = Optional.empty();
        Optional<CacheChanges> changes = Optional.empty();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case BOOT -> boot = in.readString();
                case AGO_MILLIS -> agoMillis = in.readUInt64();
                case ANSWERED -> answered = in.readBool();
                case LOAD -> load = Optional.of(decodeLoad(in.readByteArray()));
                case CHANGES -> changes = Optional.of(decodeChanges(in.readByteArray()));
                default -> in.skipField(tag);
            }
        }
        return new EngineReport(boot, agoMillis, answered, load, changes);
    }

    /** Encodes a load: its fields in their order, numbered from 1. */
    private static byte[] encodeLoad(BackendLoad load) {
        return Datagrams.write(out -> {
            out.writeInt32(1, load.waitingRequests());
            out.writeInt32(2, load.runningRequests());
            out.writeInt64(3, load.usedCacheTokens());
            out.writeInt64(4, load.cacheCapacityTokens());
            out.writeInt64(5, load.firstWaitingTokens());
            out.writeBool(6, load.changingStage());
            out.writeInt64(7, load.acceptedOrders());
        });
    }

    private static BackendLoad decodeLoad(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        long[] values = new long[8];
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            if (field < values.length) {
                values[field] = in.readInt64();
            } else {
                in.skipField(tag);
            }
        }
        return new BackendLoad(
                (int) values[1], (int) values[2], values[3], values[4], values[5], values[6] != 0, values[7]);
    }

    private static byte[] encodeChanges(CacheChanges changes) {
        return Datagrams.write(out -> {
            out.writeString(EPOCH, changes.epoch());
            out.writeInt64(NEXT, changes.nextChangeNumber());
            out.writeBool(GAP, changes.gap());
            for (CacheChanges.Change change : changes.changes()) {
                out.writeString(BLOCK, change.block());
                out.writeInt32(TOKENS, change.tokens());
            }
        });
    }

    private static CacheChanges decodeChanges(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String epoch = "";
        long next = 0;
        boolean gap = false;
        String block = "";
        List<CacheChanges.Change> changes = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case EPOCH -> epoch = in.readString();
                case NEXT -> next = in.readInt64();
                case GAP -> gap = in.readBool();
                case BLOCK -> block = in.readString();
                case TOKENS -> changes.add(new CacheChanges.Change(block, in.readInt32()));
                default -> in.skipField(tag);
            }
        }
        return new CacheChanges(epoch, next, gap, changes);
    }

    /**
     * A notice.
     *
     * @param instance the name of its sender
     * @param reports the reports
     * @param samples the speeds of engines
     */
    record Notice(String instance, List<EngineReport> reports, List<SpeedSample> samples) {}
}
