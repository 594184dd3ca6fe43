package org.verbenatray.openwork;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.verbenatray.datagrams.Datagrams;
import org.verbenatray.resilience.Crash;

/** Encodes and decodes notices as protobuf messages; unknown fields are skipped. */
final class WorkNoticeCodec {
    private static final int INSTANCE = 1;

    private static final int INCARNATION = 2;

    private static final int SEQUENCE = 3;

    /** A nested message with the work at one engine. */
    private static final int ENGINE = 4;

    /** A nested message with one placement. */
    private static final int PLACEMENT = 5;

    /** A nested message with one crash. */
    private static final int CRASH = 6;

    /** The fingerprint of the request, in a crash. */
    private static final int FINGERPRINT = 2;

    /** The id of a block, in a placement. */
    private static final int BLOCK_ID = 2;

    /** The number of tokens of the block whose id precedes this field, in a placement. */
    private static final int BLOCK_TOKENS = 3;

    /** True if the engine has processed the prompt, in a placement. */
    private static final int PROCESSED = 4;

    /** The boot id of the server, in all nested messages. */
    private static final int BOOT_ID = 1;

    /** The work that is not deferred, in the work at an engine. */
    private static final int REGULAR_MICROS = 2;

    /** The deferred work, in the work at an engine. */
    private static final int DEFERRED_MICROS = 3;

    /** The number of open requests, in the work at an engine. */
    private static final int OPEN_REQUESTS = 4;

    /** How many milliseconds ago the engine last answered, in the work at an engine; missing if it never did. */
    private static final int ANSWERED_AGO_MILLIS = 5;

    private static final int FIRST_BYTE = INSTANCE << 3 | WireFormat.WIRETYPE_LENGTH_DELIMITED;

    private WorkNoticeCodec() {}

    /** Returns whether a datagram holds a notice. */
    static boolean recognizes(byte[] datagram) {
        return Datagrams.beginsWith(datagram, FIRST_BYTE);
    }

    /** Encodes a notice. */
    static byte[] encode(WorkNotice notice) {
        return Datagrams.write(out -> {
            out.writeString(INSTANCE, notice.instance());
            out.writeUInt64(INCARNATION, notice.incarnation());
            out.writeUInt64(SEQUENCE, notice.sequence());
            for (Map.Entry<String, EngineWork> engine : notice.workByEngine().entrySet()) {
                out.writeByteArray(ENGINE, encodeEngine(notice, engine.getKey(), engine.getValue()));
            }
            for (PromptPlacement placement : notice.placements()) {
                out.writeByteArray(PLACEMENT, encodePlacement(placement));
            }
            for (Crash crash : notice.crashes()) {
                out.writeByteArray(CRASH, encodeCrash(crash));
            }
        });
    }

    /**
     * Decodes a notice.
     *
     * @throws IOException if the bytes are not a valid notice
     */
    static WorkNotice decode(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String instance = "";
        long incarnation = 0;
        long sequence = 0;
        Map<String, EngineWork> engines = new LinkedHashMap<>();
        Map<String, Long> answeredAgoMillis = new LinkedHashMap<>();
        List<PromptPlacement> placements = new ArrayList<>();
        List<Crash> crashes = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case INSTANCE -> instance = in.readString();
                case INCARNATION -> incarnation = in.readUInt64();
                case SEQUENCE -> sequence = in.readUInt64();
                case ENGINE -> decodeEngine(in.readByteArray(), engines, answeredAgoMillis);
                case PLACEMENT -> placements.add(decodePlacement(in.readByteArray()));
                case CRASH -> crashes.add(decodeCrash(in.readByteArray()));
                default -> in.skipField(tag);
            }
        }
        return new WorkNotice(instance, incarnation, sequence, engines, answeredAgoMillis, placements, crashes);
    }

    /** Encodes the work at one engine. */
    private static byte[] encodeEngine(WorkNotice notice, String bootId, EngineWork work) {
        return Datagrams.write(out -> {
            out.writeString(BOOT_ID, bootId);
            out.writeUInt64(REGULAR_MICROS, work.regularMicros());
            out.writeUInt64(DEFERRED_MICROS, work.deferredMicros());
            out.writeUInt32(OPEN_REQUESTS, work.openRequests());
            Long answeredAgo = notice.answeredAgoMillis().get(bootId);
            if (answeredAgo != null) {
                out.writeUInt64(ANSWERED_AGO_MILLIS, answeredAgo);
            }
        });
    }

    /** Decodes the work at one engine and when it last answered, and adds both to the maps. */
    private static void decodeEngine(byte[] bytes, Map<String, EngineWork> engines, Map<String, Long> answeredAgoMillis)
            throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String bootId = "";
        long regularMicros = 0;
        long deferredMicros = 0;
        long answeredAgo = -1;
        int openRequests = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case BOOT_ID -> bootId = in.readString();
                case REGULAR_MICROS -> regularMicros = in.readUInt64();
                case DEFERRED_MICROS -> deferredMicros = in.readUInt64();
                case OPEN_REQUESTS -> openRequests = in.readUInt32();
                case ANSWERED_AGO_MILLIS -> answeredAgo = in.readUInt64();
                default -> in.skipField(tag);
            }
        }
        engines.put(bootId, new EngineWork(regularMicros, deferredMicros, openRequests));
        if (answeredAgo >= 0) {
            answeredAgoMillis.put(bootId, answeredAgo);
        }
    }

    private static byte[] encodeCrash(Crash crash) {
        return Datagrams.write(out -> {
            out.writeString(BOOT_ID, crash.boot());
            out.writeString(FINGERPRINT, crash.suspect());
        });
    }

    private static Crash decodeCrash(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String boot = "";
        String fingerprint = "";
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case BOOT_ID -> boot = in.readString();
                case FINGERPRINT -> fingerprint = in.readString();
                default -> in.skipField(tag);
            }
        }
        return new Crash(fingerprint, boot);
    }

    /** Encodes one placement. */
    private static byte[] encodePlacement(PromptPlacement placement) {
        return Datagrams.write(out -> {
            out.writeString(BOOT_ID, placement.bootId());
            out.writeBool(PROCESSED, placement.processed());
            for (Map.Entry<String, Integer> block : placement.blockTokens().entrySet()) {
                out.writeString(BLOCK_ID, block.getKey());
                out.writeUInt32(BLOCK_TOKENS, block.getValue());
            }
        });
    }

    /** Decodes one placement. */
    private static PromptPlacement decodePlacement(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String bootId = "";
        String blockId = "";
        boolean processed = false;
        Map<String, Integer> blockTokens = new LinkedHashMap<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case BOOT_ID -> bootId = in.readString();
                case BLOCK_ID -> blockId = in.readString();
                case PROCESSED -> processed = in.readBool();
                case BLOCK_TOKENS -> blockTokens.put(blockId, in.readUInt32());
                default -> in.skipField(tag);
            }
        }
        return new PromptPlacement(bootId, processed, blockTokens);
    }
}
