package org.verbenatray.standin.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.TreeSet;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.fleet.EngineCondition;
import org.verbenatray.standin.engine.EngineStep.Chunk;
import org.verbenatray.standin.engine.EngineStream.Stage;

/**
 * One engine with continuous batching.
 *
 * <p>It runs one step after another. A step decodes one token of each stream in the batch and processes a chunk of
 * waiting prompts, and takes the sum of both times: prompts therefore stretch the time between tokens. The class is not
 * thread-safe, reads no clock and never blocks. Times passed to it must not decrease.
 */
public final class EngineModel {
    /** Nanoseconds in one millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** Nanoseconds in one second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The costs and limits. */
    private final EngineModelSpec spec;

    /** The cached pieces of prompts. */
    private final PrefixCache cache;

    /** All requests at the engine by id. */
    private final Map<String, EngineStream> streams = new LinkedHashMap<>();

    /** The requests whose prompt waits or is being processed. */
    private final TreeSet<EngineStream> prompts = new TreeSet<>(EngineStream.BY_PRIORITY);

    /** The requests whose KV cache is being imported or which wait for a place in the batch. */
    private final TreeSet<EngineStream> imports = new TreeSet<>(EngineStream.BY_PRIORITY);

    /** The batch. */
    private final List<EngineStream> batch = new ArrayList<>();

    /** The served versions by model. */
    private final Map<String, String> models = new TreeMap<>();

    /** The events that were not yet taken. */
    private List<EngineEvent> events = new ArrayList<>();

    /** The present role. */
    private EngineRole role;

    /** The step that runs, if any. */
    private Optional<EngineStep> step = Optional.empty();

    /** The change that drains or runs, if any. */
    private Optional<Change> change = Optional.empty();

    /** Whether the engine crashed. */
    private boolean down;

    /** The present time. */
    private long nowNanos;

    /** The tokens reserved in KV cache. */
    private long usedKvTokens;

    /** The number of requests that arrived. */
    private long arrivals;

    /** Creates an idle engine. */
    private EngineModel(EngineModelSpec spec, Map<String, String> models, long nowNanos) {
        this.spec = spec;
        this.cache = new PrefixCache(spec.limits().cachedPieces(), spec.limits().pieceTokens());
        this.models.putAll(models);
        this.role = spec.limits().initialRole();
        this.nowNanos = nowNanos;
    }

    /** Returns an idle engine that serves the given versions by model. */
    public static EngineModel create(EngineModelSpec spec, Map<String, String> models, long nowNanos) {
        return new EngineModel(spec, models, nowNanos);
    }

    /** Takes a request, or returns why it is refused. */
    public Optional<EngineRefusal> submit(EngineRequest request, long atNanos) {
        runTo(atNanos);
        Optional<EngineRefusal> refusal =
                refusalOf(request, role.prefills() && (request.prefillOnly() || role.decodes()));
        if (refusal.isEmpty()) {
            EngineStream stream = new EngineStream(request, arrivals++, request.startOffset(), Stage.WAITING);
            streams.put(request.id(), stream);
            prompts.add(stream);
            startStep();
        }
        return refusal;
    }

    /** Starts the import of KV cache to generate the rest of an answer, or returns why it is refused. */
    public Optional<EngineRefusal> importKv(KvExport export, long atNanos) {
        runTo(atNanos);
        EngineRequest request = export.request().whole();
        Optional<EngineRefusal> refusal = refusalOf(request, role.decodes());
        if (refusal.isEmpty()) {
            EngineStream stream = new EngineStream(request, arrivals++, export.nextOffset(), Stage.IMPORTING);
            double seconds = export.kvTokens() / spec.limits().kvTransferTokensPerSecond();
            stream.importedNanos = nowNanos + (long) (seconds * NANOS_PER_SECOND);
            streams.put(request.id(), stream);
            imports.add(stream);
        }
        return refusal;
    }

    /** Stops a stream that generates tokens and keeps its KV cache for an import elsewhere. */
    public Optional<KvExport> exportKv(String id, long atNanos) {
        runTo(atNanos);
        EngineStream stream = streams.get(id);
        if (stream == null || (stream.stage != Stage.DECODING && stream.stage != Stage.HELD)) {
            return Optional.empty();
        }
        batch.remove(stream);
        stream.stage = Stage.HELD;
        return Optional.of(new KvExport(stream.request, stream.nextOffset));
    }

    /** Frees the KV cache that is kept for export. */
    public void release(String id, long atNanos) {
        runTo(atNanos);
        EngineStream stream = streams.get(id);
        if (stream != null && stream.stage == Stage.HELD) {
            end(stream);
            startStep();
        }
    }

    /** Cancels a request and returns whether it was there. */
    public boolean cancel(String id, long atNanos) {
        runTo(atNanos);
        EngineStream stream = streams.get(id);
        if (stream == null) {
            return false;
        }
        end(stream);
        startStep();
        return true;
    }

    /** Begins a change of role: gives back prompts that have not started, finishes the rest, then changes. */
    public Optional<EngineRefusal> changeRole(EngineRole target, long atNanos) {
        return begin(Change.toRole(target, spec.limits().roleChangeMillis()), atNanos);
    }

    /** Begins to load a version of a model in the same manner. */
    public Optional<EngineRefusal> loadModel(String model, String version, long atNanos) {
        return begin(Change.toVersion(model, version, spec.limits().loadModelMillis()), atNanos);
    }

    /** Loses all requests and caches; the engine refuses everything until it is restarted. */
    public void crash(long atNanos) {
        runTo(atNanos);
        events.add(new EngineEvent.Crashed(nowNanos, List.copyOf(streams.keySet())));
        List.copyOf(streams.values()).forEach(this::end);
        cache.clear();
        step = Optional.empty();
        change = Optional.empty();
        down = true;
    }

    /** Starts a crashed engine again in its initial role. */
    public void restart(long atNanos) {
        runTo(atNanos);
        down = false;
        role = spec.limits().initialRole();
    }

    /** Runs to the given time and returns the events that were not yet taken, in order. */
    public List<EngineEvent> advance(long toNanos) {
        runTo(toNanos);
        List<EngineEvent> taken = events;
        events = new ArrayList<>();
        return taken;
    }

    /** Returns when the next event is due, or empty when the engine is idle. */
    public OptionalLong nextEventNanos() {
        if (!events.isEmpty()) {
            return OptionalLong.of(nowNanos);
        }
        long next = nextNanos();
        return next == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(next);
    }

    /** Returns the load at the time of the last call. */
    public EngineLoad load() {
        long queued = 0;
        for (EngineStream stream : prompts) {
            queued += stream.remainingPrefill();
        }
        EngineCondition condition = down
                ? EngineCondition.UNREACHABLE
                : change.isPresent() ? EngineCondition.CHANGING : EngineCondition.READY;
        int running = batch.size() + imports.size();
        return new EngineLoad(
                nowNanos, role, condition, running, streams.size(), queued, usedKvTokens, Map.copyOf(models));
    }

    /** Returns the number of accepted streams that have not ended, with those that wait for their prefill. */
    public int acceptedStreams() {
        return streams.size();
    }

    /** Returns the tokens of KV cache that all accepted streams hold or will reserve. */
    public long committedKvTokens() {
        return streams.values().stream()
                .mapToLong(stream -> stream.request.kvReservation())
                .sum();
    }

    /** Returns the ids of the streams that generate tokens, in the order in which they joined the batch. */
    public List<String> decodingIds() {
        return batch.stream().map(stream -> stream.request.id()).toList();
    }

    /** Returns the offset of the next token of a request at the engine. */
    public OptionalInt nextOffset(String id) {
        EngineStream stream = streams.get(id);
        return stream == null ? OptionalInt.empty() : OptionalInt.of(stream.nextOffset);
    }

    /** Returns the number of cached pieces. */
    public int cachedPieces() {
        return cache.size();
    }

    /** Returns why a request cannot be taken. */
    private Optional<EngineRefusal> refusalOf(EngineRequest request, boolean roleFits) {
        if (down) {
            return Optional.of(EngineRefusal.DOWN);
        }
        if (change.isPresent()) {
            return Optional.of(EngineRefusal.CHANGING);
        }
        if (!roleFits) {
            return Optional.of(EngineRefusal.WRONG_ROLE);
        }
        if (!models.containsKey(request.model())) {
            return Optional.of(EngineRefusal.MODEL_NOT_LOADED);
        }
        if (request.kvReservation() > spec.kvTokens()) {
            return Optional.of(EngineRefusal.TOO_LARGE);
        }
        return streams.containsKey(request.id()) ? Optional.of(EngineRefusal.DUPLICATE_ID) : Optional.empty();
    }

    /** Begins a change unless one is under way. */
    private Optional<EngineRefusal> begin(Change wanted, long atNanos) {
        runTo(atNanos);
        if (down) {
            return Optional.of(EngineRefusal.DOWN);
        }
        if (change.isPresent()) {
            return Optional.of(EngineRefusal.CHANGING);
        }
        change = Optional.of(wanted);
        for (EngineStream stream : List.copyOf(prompts)) {
            if (stream.stage == Stage.WAITING) {
                events.add(new EngineEvent.Returned(nowNanos, stream.request.id()));
                end(stream);
            }
        }
        startChangeWhenDrained();
        return Optional.empty();
    }

    /** Runs everything that is due. */
    private void runTo(long toNanos) {
        long next = nextNanos();
        while (next <= toNanos) {
            nowNanos = Math.max(nowNanos, next);
            finishImports();
            finishStep();
            finishChange();
            startStep();
            next = nextNanos();
        }
        nowNanos = Math.max(nowNanos, toNanos);
    }

    /** Returns when something is due next, {@link Long#MAX_VALUE} for never. */
    private long nextNanos() {
        long next = step.map(EngineStep::endNanos).orElse(Long.MAX_VALUE);
        next = Math.min(next, change.map(Change::endNanos).orElse(Long.MAX_VALUE));
        for (EngineStream stream : imports) {
            if (stream.stage == Stage.IMPORTING) {
                next = Math.min(next, stream.importedNanos);
            }
        }
        return next;
    }

    /** Marks the imports whose transfer is complete. */
    private void finishImports() {
        for (EngineStream stream : imports) {
            if (stream.stage == Stage.IMPORTING && stream.importedNanos <= nowNanos) {
                stream.stage = Stage.IMPORTED;
                events.add(new EngineEvent.KvImported(nowNanos, stream.request.id()));
            }
        }
    }

    /** Ends the running step when it is due. */
    private void finishStep() {
        if (step.isEmpty() || step.get().endNanos() > nowNanos) {
            return;
        }
        EngineStep done = step.get();
        step = Optional.empty();
        for (EngineStream stream : done.batch()) {
            if (stream.stage == Stage.DECODING) {
                generate(stream);
            }
        }
        for (Chunk chunk : done.chunks()) {
            if (chunk.stream().stage == Stage.PREFILLING) {
                finishChunk(chunk);
            }
        }
    }

    /** Generates one token. */
    private void generate(EngineStream stream) {
        EngineRequest request = stream.request;
        events.add(new EngineEvent.TokenGenerated(nowNanos, request.id(), request.seed(), stream.nextOffset));
        stream.nextOffset++;
        if (stream.complete()) {
            events.add(new EngineEvent.Finished(nowNanos, request.id()));
            end(stream);
        }
    }

    /** Accounts for a processed chunk and generates the first token after the last one. */
    private void finishChunk(Chunk chunk) {
        EngineStream stream = chunk.stream();
        int before = stream.prefilledTokens;
        stream.prefilledTokens += chunk.tokens();
        events.addAll(cache.complete(stream.request.prefixHashes(), before, stream.prefilledTokens, nowNanos));
        if (stream.remainingPrefill() > 0) {
            return;
        }
        prompts.remove(stream);
        stream.stage = Stage.DECODING;
        generate(stream);
        if (stream.stage == Stage.DECODING && stream.request.prefillOnly()) {
            stream.stage = Stage.HELD;
            KvExport export = new KvExport(stream.request, stream.nextOffset);
            events.add(new EngineEvent.PrefillFinished(nowNanos, export));
        } else if (stream.stage == Stage.DECODING) {
            batch.add(stream);
        }
    }

    /** Ends a request and frees what it holds. */
    private void end(EngineStream stream) {
        stream.stage = Stage.ENDED;
        usedKvTokens -= stream.reservedTokens;
        stream.reservedTokens = 0;
        streams.remove(stream.request.id());
        prompts.remove(stream);
        imports.remove(stream);
        batch.remove(stream);
    }

    /** Starts the next step when there is work and none runs. */
    private void startStep() {
        startChangeWhenDrained();
        if (down || step.isPresent()) {
            return;
        }
        joinImported();
        List<Chunk> chunks = nextChunks();
        if (batch.isEmpty() && chunks.isEmpty()) {
            return;
        }
        double millis =
                batch.isEmpty() ? 0 : spec.decodeStepMillis() + spec.decodeStepMillisPerStream() * (batch.size() - 1);
        int tokens = chunks.stream().mapToInt(Chunk::tokens).sum();
        double nanos = millis * NANOS_PER_MILLI + tokens / spec.prefillTokensPerSecond() * NANOS_PER_SECOND;
        step = Optional.of(new EngineStep(nowNanos + Math.max(1, (long) nanos), List.copyOf(batch), chunks));
    }

    /** Moves imported streams into the batch while it and the KV cache have room. */
    private void joinImported() {
        Iterator<EngineStream> candidates = imports.iterator();
        while (candidates.hasNext()) {
            EngineStream stream = candidates.next();
            if (stream.stage == Stage.IMPORTED) {
                if (!reserve(stream)) {
                    return;
                }
                stream.stage = Stage.DECODING;
                candidates.remove();
                batch.add(stream);
            }
        }
    }

    /** Returns the prompt tokens that the next step processes, the higher priority first. */
    private List<Chunk> nextChunks() {
        List<Chunk> chunks = new ArrayList<>();
        int left = spec.limits().chunkTokens();
        boolean full = false;
        for (EngineStream stream : prompts) {
            if (left == 0) {
                break;
            }
            if (stream.stage == Stage.WAITING) {
                full = full || !reserve(stream);
                if (full) {
                    continue;
                }
                startPrefill(stream);
            }
            int tokens = Math.min(left, stream.remainingPrefill());
            chunks.add(new Chunk(stream, tokens));
            left -= tokens;
        }
        return chunks;
    }

    /** Starts a prompt after the pieces that are cached. */
    private void startPrefill(EngineStream stream) {
        stream.stage = Stage.PREFILLING;
        int cached = cache.leadingTokens(stream.request.prefixHashes());
        stream.prefilledTokens = Math.min(cached, stream.request.contextTokens() - 1);
    }

    /** Reserves KV cache and a place for a stream, or returns false when there is no room. */
    private boolean reserve(EngineStream stream) {
        long tokens = stream.request.kvReservation();
        boolean placeFree = batch.size() + prefilling() < spec.maxStreams() || stream.request.prefillOnly();
        if (!placeFree || usedKvTokens + tokens > spec.kvTokens()) {
            return false;
        }
        stream.reservedTokens = tokens;
        usedKvTokens += tokens;
        return true;
    }

    /** Returns the number of prompts being processed that will join the batch. */
    private int prefilling() {
        int count = 0;
        for (EngineStream stream : prompts) {
            if (stream.stage == Stage.PREFILLING && !stream.request.prefillOnly()) {
                count++;
            }
        }
        return count;
    }

    /** Starts the part of a change without service once nothing is left to finish. */
    private void startChangeWhenDrained() {
        if (change.isPresent() && !change.get().started() && streams.isEmpty() && step.isEmpty()) {
            change = Optional.of(change.get().startingAt(nowNanos));
        }
    }

    /** Ends a change when it is due. */
    private void finishChange() {
        if (change.isEmpty() || change.get().endNanos() > nowNanos) {
            return;
        }
        Change done = change.get();
        change = Optional.empty();
        done.role().ifPresent(target -> {
            role = target;
            events.add(new EngineEvent.RoleChanged(nowNanos, target));
        });
        done.model().ifPresent(model -> {
            models.put(model, done.version());
            cache.clear();
            events.add(new EngineEvent.ModelLoaded(nowNanos, model, done.version()));
        });
    }
}
