package org.verbenatray.openwork;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Encodes notices as protobuf messages; fields that are not known are skipped. */
final class WorkNoticeCodec {
    /** The field of the sender's name. */
    private static final int INSTANCE = 1;

    /** The field of the sender's start. */
    private static final int START = 2;

    /** The field of the number of the notice. */
    private static final int SEQUENCE = 3;

    /** The field of an engine, a message of its own. */
    private static final int ENGINE = 4;

    /** The field of parts that an engine keeps, a message of its own. */
    private static final int KEPT = 5;

    /** The field of a part's name. */
    private static final int PART = 2;

    /** The field of a part's tokens, which follows its name. */
    private static final int TOKENS = 3;

    /** The field that says whether the engine has processed the parts. */
    private static final int PROCESSED = 4;

    /** The field of the engine's start. */
    private static final int BOOT = 1;

    /** The field of the work that is to be on time. */
    private static final int ON_TIME = 2;

    /** The field of the deferred work. */
    private static final int DEFERRED = 3;

    /** The field of the requests that have not ended. */
    private static final int RUNS = 4;

    /** Prevents instances. */
    private WorkNoticeCodec() {}

    /** Returns the bytes of a notice. */
    static byte[] encode(WorkNotice notice) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            out.writeString(INSTANCE, notice.instance());
            out.writeUInt64(START, notice.start());
            out.writeUInt64(SEQUENCE, notice.sequence());
            for (Map.Entry<String, EngineWork> engine : notice.engines().entrySet()) {
                out.writeByteArray(ENGINE, encodeEngine(engine.getKey(), engine.getValue()));
            }
            for (KeptParts kept : notice.kept()) {
                out.writeByteArray(KEPT, encodeKept(kept));
            }
            out.flush();
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
    }

    /** Returns the notice in some bytes; fails with an {@link IOException} where they are none. */
    static WorkNotice decode(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String instance = "";
        long start = 0;
        long sequence = 0;
        Map<String, EngineWork> engines = new LinkedHashMap<>();
        List<KeptParts> kept = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case INSTANCE -> instance = in.readString();
                case START -> start = in.readUInt64();
                case SEQUENCE -> sequence = in.readUInt64();
                case ENGINE -> decodeEngine(in.readByteArray(), engines);
                case KEPT -> kept.add(decodeKept(in.readByteArray()));
                default -> in.skipField(tag);
            }
        }
        return new WorkNotice(instance, start, sequence, engines, kept);
    }

    /** Returns the bytes of the work at one engine. */
    private static byte[] encodeEngine(String boot, EngineWork work) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        out.writeString(BOOT, boot);
        out.writeUInt64(ON_TIME, work.onTimeMicros());
        out.writeUInt64(DEFERRED, work.deferredMicros());
        out.writeUInt32(RUNS, work.runs());
        out.flush();
        return bytes.toByteArray();
    }

    /** Adds the work at one engine. */
    private static void decodeEngine(byte[] bytes, Map<String, EngineWork> engines) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String boot = "";
        long onTime = 0;
        long deferred = 0;
        int runs = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case BOOT -> boot = in.readString();
                case ON_TIME -> onTime = in.readUInt64();
                case DEFERRED -> deferred = in.readUInt64();
                case RUNS -> runs = in.readUInt32();
                default -> in.skipField(tag);
            }
        }
        engines.put(boot, new EngineWork(onTime, deferred, runs));
    }

    /** Returns the bytes of parts that an engine keeps. */
    private static byte[] encodeKept(KeptParts kept) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        out.writeString(BOOT, kept.boot());
        out.writeBool(PROCESSED, kept.processed());
        for (Map.Entry<String, Integer> part : kept.tokens().entrySet()) {
            out.writeString(PART, part.getKey());
            out.writeUInt32(TOKENS, part.getValue());
        }
        out.flush();
        return bytes.toByteArray();
    }

    /** Returns the parts in some bytes. */
    private static KeptParts decodeKept(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String boot = "";
        String part = "";
        boolean processed = false;
        Map<String, Integer> tokens = new LinkedHashMap<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case BOOT -> boot = in.readString();
                case PART -> part = in.readString();
                case PROCESSED -> processed = in.readBool();
                case TOKENS -> tokens.put(part, in.readUInt32());
                default -> in.skipField(tag);
            }
        }
        return new KeptParts(boot, processed, tokens);
    }
}
