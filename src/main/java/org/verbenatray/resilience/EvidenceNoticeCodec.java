package org.verbenatray.resilience;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.verbenatray.datagrams.Datagrams;

/** Encodes and decodes notices of evidence as protobuf messages; unknown fields are skipped. */
final class EvidenceNoticeCodec {
    /** First in each notice, and in no other kind of datagram on the same port. */
    private static final int INSTANCE = 7;

    /** A nested message with one statement. */
    private static final int STATEMENT = 2;

    /** The key of a part with which a request has run to its end. */
    private static final int SUCCEEDED = 3;

    /** The key of the part, in a statement. */
    private static final int PART = 1;

    private static final int COMPLETED_WITHOUT = 2;

    private static final int ESTABLISHED_WITHOUT = 3;

    private static final int ESTABLISHED = 4;

    private static final int SUCCEEDED_BEFORE = 5;

    private static final int FIRST_BYTE = INSTANCE << 3 | WireFormat.WIRETYPE_LENGTH_DELIMITED;

    private EvidenceNoticeCodec() {}

    /** Returns whether a datagram holds a notice. */
    static boolean recognizes(byte[] datagram) {
        return Datagrams.beginsWith(datagram, FIRST_BYTE);
    }

    /** Encodes a notice. */
    static byte[] encode(EvidenceNotice notice) {
        return Datagrams.write(out -> {
            out.writeString(INSTANCE, notice.instance());
            for (PartStatement statement : notice.statements()) {
                out.writeByteArray(STATEMENT, encode(statement));
            }
            for (String part : notice.succeeded()) {
                out.writeString(SUCCEEDED, part);
            }
        });
    }

    private static byte[] encode(PartStatement statement) {
        return Datagrams.write(out -> {
            out.writeString(PART, statement.part());
            out.writeUInt32(COMPLETED_WITHOUT, statement.evidence().completedWithout());
            out.writeUInt32(ESTABLISHED_WITHOUT, statement.evidence().establishedWithout());
            out.writeBool(ESTABLISHED, statement.evidence().established());
            out.writeBool(SUCCEEDED_BEFORE, statement.evidence().succeededBefore());
        });
    }

    /**
     * Decodes a notice.
     *
     * @throws IOException if the bytes are not a valid notice
     */
    static EvidenceNotice decode(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String instance = "";
        List<PartStatement> statements = new ArrayList<>();
        List<String> succeeded = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case INSTANCE -> instance = in.readString();
                case STATEMENT -> statements.add(decodeStatement(in.readByteArray()));
                case SUCCEEDED -> succeeded.add(in.readString());
                default -> in.skipField(tag);
            }
        }
        return new EvidenceNotice(instance, statements, succeeded);
    }

    private static PartStatement decodeStatement(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        String part = "";
        int completedWithout = 0;
        int establishedWithout = 0;
        boolean established = false;
        boolean succeededBefore = false;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case PART -> part = in.readString();
                case COMPLETED_WITHOUT -> completedWithout = count(in);
                case ESTABLISHED_WITHOUT -> establishedWithout = count(in);
                case ESTABLISHED -> established = in.readBool();
                case SUCCEEDED_BEFORE -> succeededBefore = in.readBool();
                default -> in.skipField(tag);
            }
        }
        return new PartStatement(
                part, new PartEvidence(completedWithout, establishedWithout, established, succeededBefore));
    }

    /** Reads a count of runs, of which an instance states a few at most. */
    private static int count(CodedInputStream in) throws IOException {
        int count = in.readUInt32();
        if (count < 0 || count > PartEvidence.MAX_RUNS) {
            throw new IOException("a statement with " + Integer.toUnsignedString(count) + " runs");
        }
        return count;
    }
}
