package org.verbenatray.scheduling;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.verbenatray.backends.PrefillWork;
import org.verbenatray.datagrams.Datagrams;
import org.verbenatray.openwork.EngineWork;
import org.verbenatray.placement.PromptBlock;
import org.verbenatray.placement.PromptShape;

/** Encodes and decodes the messages of placement as protobuf messages; unknown fields are skipped. */
final class PlacementCodec {
    /** First in each message, and in no other kind of datagram on the same port: the kind of message. */
    private static final int KIND = 9;

    private static final int INSTANCE = 1;
    private static final int TICKET = 2;
    private static final int SERVICE = 3;
    private static final int MODEL = 4;
    private static final int PROMPT_TOKENS = 5;
    private static final int OUTPUT_TOKENS = 6;

    /** The id of a block; its tokens follow. */
    private static final int BLOCK = 7;

    private static final int BLOCK_TOKENS = 8;

    /** A boot id: of an excluded engine, of the chosen one, or of the one whose work follows. */
    private static final int BOOT = 10;

    private static final int TARGET_MILLIS = 11;
    private static final int ELAPSED_MILLIS = 12;
    private static final int SINCE_FIRST_MILLIS = 13;
    private static final int TIMEOUT_MILLIS = 14;
    private static final int DEFERRABLE = 15;
    private static final int HANDOVER = 16;
    private static final int FETCH_FROM = 17;
    private static final int CACHED_TOKENS = 18;
    private static final int REGULAR_MICROS = 19;
    private static final int DEFERRED_MICROS = 20;
    private static final int WAIT_MILLIS = 21;
    private static final int FIRST_TOKEN_MILLIS = 22;
    private static final int RETRY_AFTER_MILLIS = 23;
    private static final int OUTCOME = 24;
    private static final int MILLIS = 25;
    private static final int OPEN_REQUESTS = 26;
    private static final int CUSTOMER = 27;

    private static final int QUESTION = 1;
    private static final int ANSWER = 2;
    private static final int END = 3;
    private static final int WORK = 4;

    private static final int FIRST_BYTE = KIND << 3 | WireFormat.WIRETYPE_VARINT;

    private PlacementCodec() {}

    /** Returns whether a datagram holds a message of placement. */
    static boolean recognizes(byte[] datagram) {
        return Datagrams.beginsWith(datagram, FIRST_BYTE);
    }

    /** Encodes a message. */
    static byte[] encode(PlacementMessage message) {
        return Datagrams.write(out -> {
            out.writeUInt32(KIND, kindOf(message));
            out.writeString(INSTANCE, message.instance());
            if (message instanceof PlacementMessage.Question question) {
                write(question, out);
            } else if (message instanceof PlacementMessage.Answer answer) {
                write(answer, out);
            } else if (message instanceof PlacementMessage.End end) {
                write(end, out);
            } else if (message instanceof PlacementMessage.Work work) {
                write(work, out);
            }
        });
    }

    private static int kindOf(PlacementMessage message) {
        if (message instanceof PlacementMessage.Question) {
            return QUESTION;
        }
        if (message instanceof PlacementMessage.Answer) {
            return ANSWER;
        }
        return message instanceof PlacementMessage.End ? END : WORK;
    }

    private static void write(PlacementMessage.Question question, CodedOutputStream out) throws IOException {
        PromptRequest request = question.request();
        out.writeUInt64(TICKET, question.ticket());
        out.writeString(SERVICE, question.service());
        out.writeString(MODEL, request.prompt().model());
        out.writeUInt32(PROMPT_TOKENS, request.prompt().promptTokens());
        out.writeUInt32(OUTPUT_TOKENS, request.prompt().maxOutputTokens());
        for (PromptBlock block : request.prompt().blocks()) {
            out.writeString(BLOCK, block.id());
            out.writeUInt32(BLOCK_TOKENS, block.tokens());
        }
        for (String boot : question.excluded()) {
            out.writeString(BOOT, boot);
        }
        out.writeDouble(TARGET_MILLIS, request.targetMillis());
        out.writeDouble(ELAPSED_MILLIS, request.elapsedMillis());
        out.writeDouble(SINCE_FIRST_MILLIS, request.sinceFirstAttemptMillis());
        out.writeDouble(TIMEOUT_MILLIS, request.timeoutMillis());
        out.writeBool(DEFERRABLE, request.deferrable());
        if (request.customer().isPresent()) {
            out.writeString(CUSTOMER, request.customer().get());
        }
    }

    private static void write(PlacementMessage.Answer answer, CodedOutputStream out) throws IOException {
        out.writeUInt64(TICKET, answer.ticket());
        if (answer.boot().isPresent()) {
            out.writeString(BOOT, answer.boot().get());
        }
        out.writeBool(HANDOVER, answer.handover());
        if (answer.fetchFrom().isPresent()) {
            out.writeString(FETCH_FROM, answer.fetchFrom().get());
        }
        out.writeUInt32(CACHED_TOKENS, answer.cachedTokens());
        out.writeUInt64(
                answer.work().deferred() ? DEFERRED_MICROS : REGULAR_MICROS,
                answer.work().micros());
        out.writeDouble(WAIT_MILLIS, answer.waitMillis());
        out.writeDouble(FIRST_TOKEN_MILLIS, answer.firstTokenMillis());
        if (answer.retryAfterMillis().isPresent()) {
            out.writeUInt64(RETRY_AFTER_MILLIS, answer.retryAfterMillis().getAsLong());
        }
    }

    private static void write(PlacementMessage.End end, CodedOutputStream out) throws IOException {
        out.writeUInt64(TICKET, end.ticket());
        out.writeUInt32(OUTCOME, end.outcome().kind().ordinal());
        if (end.outcome().millis().isPresent()) {
            out.writeDouble(MILLIS, end.outcome().millis().getAsDouble());
        }
    }

    private static void write(PlacementMessage.Work work, CodedOutputStream out) throws IOException {
        out.writeUInt64(TICKET, work.part());
        for (Map.Entry<String, EngineWork> engine : work.work().entrySet()) {
            out.writeString(BOOT, engine.getKey());
            out.writeUInt64(REGULAR_MICROS, engine.getValue().regularMicros());
            out.writeUInt64(DEFERRED_MICROS, engine.getValue().deferredMicros());
            out.writeUInt32(OPEN_REQUESTS, engine.getValue().openRequests());
        }
    }

    /**
     * Decodes a message.
     *
     * @throws IOException if the bytes are not a valid message
     */
    static PlacementMessage decode(byte[] bytes) throws IOException {
        Fields fields = new Fields();
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            fields.read(tag, in);
        }
        return fields.message();
    }

    /** The fields of a message that is being read. */
    private static final class Fields {
        private int kind;
        private String instance = "";
        private long ticket;
        private String service = "";
        private String model = "";
        private int promptTokens;
        private int outputTokens;
        private String block = "";
        private final List<PromptBlock> blocks = new ArrayList<>();
        private String boot;
        private final Set<String> boots = new LinkedHashSet<>();
        private final Map<Integer, Double> doubles = new HashMap<>();
        private boolean deferrable;
        private boolean handover;
        private String customer;
        private String fetchFrom;
        private int cachedTokens;
        private long regularMicros;
        private long deferredMicros;
        private boolean isDeferred;
        private long retryAfterMillis = -1;
        private int outcome;
        private final Map<String, EngineWork> work = new HashMap<>();

        void read(int tag, CodedInputStream in) throws IOException {
            int field = WireFormat.getTagFieldNumber(tag);
            switch (field) {
                case KIND -> kind = in.readUInt32();
                case INSTANCE -> instance = in.readString();
                case TICKET -> ticket = in.readUInt64();
                case SERVICE -> service = in.readString();
                case MODEL -> model = in.readString();
                case PROMPT_TOKENS -> promptTokens = in.readUInt32();
                case OUTPUT_TOKENS -> outputTokens = in.readUInt32();
                case BLOCK -> block = in.readString();
                case BLOCK_TOKENS -> blocks.add(new PromptBlock(block, in.readUInt32()));
                case BOOT -> readBoot(in.readString());
                case TARGET_MILLIS,
                        ELAPSED_MILLIS,
                        SINCE_FIRST_MILLIS,
                        TIMEOUT_MILLIS,
                        WAIT_MILLIS,
                        FIRST_TOKEN_MILLIS,
                        MILLIS -> doubles.put(field, in.readDouble());
                case DEFERRABLE -> deferrable = in.readBool();
                case CUSTOMER -> customer = in.readString();
                case HANDOVER -> handover = in.readBool();
                case FETCH_FROM -> fetchFrom = in.readString();
                case CACHED_TOKENS -> cachedTokens = in.readUInt32();
                case REGULAR_MICROS -> regularMicros = in.readUInt64();
                case DEFERRED_MICROS -> readDeferred(in.readUInt64());
                case RETRY_AFTER_MILLIS -> retryAfterMillis = in.readUInt64();
                case OUTCOME -> outcome = in.readUInt32();
                case OPEN_REQUESTS -> work.put(boot, new EngineWork(regularMicros, deferredMicros, in.readUInt32()));
                default -> in.skipField(tag);
            }
        }

        private void readBoot(String read) {
            boot = read;
            boots.add(read);
        }

        private void readDeferred(long micros) {
            deferredMicros = micros;
            isDeferred = true;
        }

        PlacementMessage message() throws IOException {
            return switch (kind) {
                case QUESTION -> new PlacementMessage.Question(instance, ticket, service, request(), boots);
                case ANSWER -> answer();
                case END -> new PlacementMessage.End(instance, ticket, outcome());
                case WORK -> new PlacementMessage.Work(instance, (int) ticket, work);
                default -> throw new IOException("a message of an unknown kind: " + kind);
            };
        }

        private PromptRequest request() {
            return new PromptRequest(
                    new PromptShape(model, promptTokens, outputTokens, blocks),
                    number(TARGET_MILLIS),
                    number(ELAPSED_MILLIS),
                    number(SINCE_FIRST_MILLIS),
                    number(TIMEOUT_MILLIS),
                    deferrable,
                    Optional.ofNullable(customer));
        }

        private PlacementMessage answer() {
            return new PlacementMessage.Answer(
                    instance,
                    ticket,
                    Optional.ofNullable(boot),
                    handover,
                    Optional.ofNullable(fetchFrom),
                    cachedTokens,
                    new PrefillWork(isDeferred ? deferredMicros : regularMicros, isDeferred),
                    number(WAIT_MILLIS),
                    number(FIRST_TOKEN_MILLIS),
                    retryAfterMillis < 0 ? OptionalLong.empty() : OptionalLong.of(retryAfterMillis));
        }

        private PromptOutcome outcome() throws IOException {
            if (outcome < 0 || outcome >= PromptOutcome.Kind.values().length) {
                throw new IOException("an unknown outcome: " + outcome);
            }
            Double millis = doubles.get(MILLIS);
            return new PromptOutcome(
                    PromptOutcome.Kind.values()[outcome],
                    millis == null ? OptionalDouble.empty() : OptionalDouble.of(millis));
        }

        private double number(int field) {
            return doubles.getOrDefault(field, 0.0);
        }
    }
}
