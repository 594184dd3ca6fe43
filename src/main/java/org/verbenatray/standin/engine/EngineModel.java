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
 * Simulates one engine with continuous batching.
 *
 * <p>Steps run one after another. A step decodes one token of each stream in the batch and prefills a chunk of the
 * queued prompts. Its duration is the sum of both, so prefill increases the time between tokens of running streams.
 *
 * <p>The class is not thread-safe, reads no clock and never blocks. Times are nanoseconds and must not decrease from
 * one call to the next.
 */
public final class EngineModel {
    private static final double NANOS_PER_MILLI = 1e6;

    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineModelSpec spec;

    private final PrefixCache cache;

    /** All accepted requests that have not ended, by id. */
    private final Map<String, EngineStream> streams = new LinkedHashMap<>();

    /** The requests that are queued for prefill or in prefill. */
    private final TreeSet<EngineStream> prompts = new TreeSet<>(EngineStream.BY_PRIORITY);

    /** The requests whose KV cache is being imported or which are queued for the batch after the import. */
    private final TreeSet<EngineStream> imports = new TreeSet<>(EngineStream.BY_PRIORITY);

    private final List<EngineStream> batch = new ArrayList<>();

    /** The served versions by model. */
    private final Map<String, String> models = new TreeMap<>();

    /** The events that {@link #advance} has not returned yet. */
    private List<EngineEvent> events = new ArrayList<>();

    private EngineRole role;

    /** The step in progress, if any. */
    private Optional<EngineStep> step = Optional.empty();

    /** The role or version change in progress, if any. */
    private Optional<PlannedChange> change = Optional.empty();

    private boolean down;

    /** The latest time that was passed in or at which an event occurred. */
    private long nowNanos;

    /** The number of tokens reserved in the KV cache. */
    private long usedKvTokens;

    /** The number of requests accepted so far. */
    private long arrivalCount;

    private EngineModel(EngineModelSpec spec, Map<String, String> models, long nowNanos) {
        this.spec = spec;
        this.cache = new PrefixCache(spec.limits().cachedBlocks(), spec.limits().blockTokens());
        this.models.putAll(models);
        this.role = spec.limits().initialRole();
        this.nowNanos = nowNanos;
    }

    /** Returns an idle engine that serves the given versions by model. */
    public static EngineModel create(EngineModelSpec spec, Map<String, String> models, long nowNanos) {
        return new EngineModel(spec, models, nowNanos);
    }

    /** Accepts a request for prefill, or returns the reason for rejecting it. */
    public Optional<EngineRefusal> submit(EngineRequest request, long atNanos) {
        advanceTo(atNanos);
        Optional<EngineRefusal> refusal =
                checkRequest(request, role.prefills() && (request.prefillOnly() || role.decodes()));
        if (refusal.isEmpty()) {
            EngineStream stream = new EngineStream(request, arrivalCount++, request.startOffset(), Stage.WAITING);
            streams.put(request.id(), stream);
            prompts.add(stream);
            startStep();
        }
        return refusal;
    }

    /** Starts the import of a KV cache to generate the rest of an output, or returns the reason for rejecting it. */
    public Optional<EngineRefusal> importKv(KvExport export, long atNanos) {
        advanceTo(atNanos);
        EngineRequest request = export.request().withoutPrefillOnly();
        Optional<EngineRefusal> refusal = checkRequest(request, role.decodes());
        if (refusal.isEmpty()) {
            EngineStream stream = new EngineStream(request, arrivalCount++, export.nextOffset(), Stage.IMPORTING);
            double seconds = export.kvTokens() / spec.limits().kvTransferTokensPerSecond();
            stream.importEndNanos = nowNanos + (long) (seconds * NANOS_PER_SECOND);
            streams.put(request.id(), stream);
            imports.add(stream);
        }
        return refusal;
    }

    /**
     * Stops decoding a stream and returns its KV cache, which is kept until {@link #releaseKv}. Returns empty if the
     * request is unknown or is neither decoding nor kept for export.
     */
    public Optional<KvExport> exportKv(String id, long atNanos) {
        advanceTo(atNanos);
        EngineStream stream = streams.get(id);
        if (stream == null || (stream.stage != Stage.DECODING && stream.stage != Stage.HELD)) {
            return Optional.empty();
        }
        batch.remove(stream);
        stream.stage = Stage.HELD;
        return Optional.of(new KvExport(stream.request, stream.nextOffset));
    }

    /** Frees a KV cache that is kept for export. Does nothing if there is none. */
    public void releaseKv(String id, long atNanos) {
        advanceTo(atNanos);
        EngineStream stream = streams.get(id);
        if (stream != null && stream.stage == Stage.HELD) {
            removeStream(stream);
            startStep();
        }
    }

    /** Cancels a request. Returns false if it is unknown. */
    public boolean cancel(String id, long atNanos) {
        advanceTo(atNanos);
        EngineStream stream = streams.get(id);
        if (stream == null) {
            return false;
        }
        removeStream(stream);
        startStep();
        return true;
    }

    /**
     * Starts a role change: returns requests that are queued for prefill, finishes the others, then changes the role.
     * Returns the reason if the change is rejected.
     */
    public Optional<EngineRefusal> changeRole(EngineRole target, long atNanos) {
        return startChange(PlannedChange.toRole(target, spec.limits().roleChangeMillis()), atNanos);
    }

    /**
     * Starts loading a model version, with the same steps as {@link #changeRole}. Returns the reason if it is rejected.
     */
    public Optional<EngineRefusal> loadModel(String model, String version, long atNanos) {
        return startChange(PlannedChange.toVersion(model, version, spec.limits().loadModelMillis()), atNanos);
    }

    /** Crashes the engine: drops all requests and caches and rejects everything until {@link #restart}. */
    public void crash(long atNanos) {
        advanceTo(atNanos);
        events.add(new EngineEvent.EngineCrashed(nowNanos, List.copyOf(streams.keySet())));
        List.copyOf(streams.values()).forEach(this::removeStream);
        cache.clear();
        step = Optional.empty();
        change = Optional.empty();
        down = true;
    }

    /** Restarts a crashed engine in its initial role. */
    public void restart(long atNanos) {
        advanceTo(atNanos);
        down = false;
        role = spec.limits().initialRole();
    }

    /** Advances to the given time and returns all events since the previous call, in order. */
    public List<EngineEvent> advance(long toNanos) {
        advanceTo(toNanos);
        List<EngineEvent> taken = events;
        events = new ArrayList<>();
        return taken;
    }

    /** Returns the time of the next event; empty if the engine is idle. */
    public OptionalLong nextEventNanos() {
        if (!events.isEmpty()) {
            return OptionalLong.of(nowNanos);
        }
        long next = nextDueNanos();
        return next == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(next);
    }

    /** Returns the load as of the latest time that was passed in. */
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

    /** Returns the number of accepted requests that have not ended, including those queued for prefill. */
    public int acceptedStreams() {
        return streams.size();
    }

    /** Returns the number of KV cache tokens that all accepted requests have reserved or will reserve. */
    public long committedKvTokens() {
        return streams.values().stream()
                .mapToLong(stream -> stream.request.maxKvTokens())
                .sum();
    }

    /** Returns the ids of the streams in the batch, in the order in which they joined it. */
    public List<String> decodingIds() {
        return batch.stream().map(stream -> stream.request.id()).toList();
    }

    /** Returns the offset of the next token of a request; empty if the request is unknown. */
    public OptionalInt nextOffset(String id) {
        EngineStream stream = streams.get(id);
        return stream == null ? OptionalInt.empty() : OptionalInt.of(stream.nextOffset);
    }

    /** Returns the number of blocks in the prefix cache. */
    public int cachedBlocks() {
        return cache.size();
    }

    /** Returns the reason for rejecting a request; empty if it is acceptable. */
    private Optional<EngineRefusal> checkRequest(EngineRequest request, boolean roleFits) {
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
        if (request.maxKvTokens() > spec.kvTokens()) {
            return Optional.of(EngineRefusal.TOO_LARGE);
        }
        return streams.containsKey(request.id()) ? Optional.of(EngineRefusal.DUPLICATE_ID) : Optional.empty();
    }

    /**
     * Starts a change and returns the requests that are queued for prefill. Rejected if a change is already in
     * progress.
     */
    private Optional<EngineRefusal> startChange(PlannedChange newChange, long atNanos) {
        advanceTo(atNanos);
        if (down) {
            return Optional.of(EngineRefusal.DOWN);
        }
        if (change.isPresent()) {
            return Optional.of(EngineRefusal.CHANGING);
        }
        change = Optional.of(newChange);
        for (EngineStream stream : List.copyOf(prompts)) {
            if (stream.stage == Stage.WAITING) {
                events.add(new EngineEvent.RequestReturned(nowNanos, stream.request.id()));
                removeStream(stream);
            }
        }
        startChangeWhenDrained();
        return Optional.empty();
    }

    /** Processes everything that is due up to the given time. */
    private void advanceTo(long toNanos) {
        long next = nextDueNanos();
        while (next <= toNanos) {
            nowNanos = Math.max(nowNanos, next);
            finishImports();
            finishStep();
            finishChange();
            startStep();
            next = nextDueNanos();
        }
        nowNanos = Math.max(nowNanos, toNanos);
    }

    /** Returns the time at which something is due next; {@link Long#MAX_VALUE} if nothing is. */
    private long nextDueNanos() {
        long next = step.map(EngineStep::endNanos).orElse(Long.MAX_VALUE);
        next = Math.min(next, change.map(PlannedChange::endNanos).orElse(Long.MAX_VALUE));
        for (EngineStream stream : imports) {
            if (stream.stage == Stage.IMPORTING) {
                next = Math.min(next, stream.importEndNanos);
            }
        }
        return next;
    }

    /** Marks the imports whose transfer is complete. */
    private void finishImports() {
        for (EngineStream stream : imports) {
            if (stream.stage == Stage.IMPORTING && stream.importEndNanos <= nowNanos) {
                stream.stage = Stage.IMPORTED;
                events.add(new EngineEvent.KvImported(nowNanos, stream.request.id()));
            }
        }
    }

    /** Finishes the step in progress if it is due. */
    private void finishStep() {
        if (step.isEmpty() || step.get().endNanos() > nowNanos) {
            return;
        }
        EngineStep done = step.get();
        step = Optional.empty();
        for (EngineStream stream : done.batch()) {
            if (stream.stage == Stage.DECODING) {
                generateToken(stream);
            }
        }
        for (Chunk chunk : done.chunks()) {
            if (chunk.stream().stage == Stage.PREFILLING) {
                finishChunk(chunk);
            }
        }
    }

    private void generateToken(EngineStream stream) {
        EngineRequest request = stream.request;
        events.add(new EngineEvent.TokenGenerated(nowNanos, request.id(), request.seed(), stream.nextOffset));
        stream.nextOffset++;
        if (stream.isComplete()) {
            events.add(new EngineEvent.RequestFinished(nowNanos, request.id()));
            removeStream(stream);
        }
    }

    /** Records a processed chunk. After the last chunk of a prompt, generates the first token. */
    private void finishChunk(Chunk chunk) {
        EngineStream stream = chunk.stream();
        int before = stream.prefilledTokens;
        stream.prefilledTokens += chunk.tokens();
        events.addAll(
                cache.addCompletedBlocks(stream.request.prefixHashes(), before, stream.prefilledTokens, nowNanos));
        if (stream.remainingPrefill() > 0) {
            return;
        }
        prompts.remove(stream);
        stream.stage = Stage.DECODING;
        generateToken(stream);
        if (stream.stage == Stage.DECODING && stream.request.prefillOnly()) {
            stream.stage = Stage.HELD;
            KvExport export = new KvExport(stream.request, stream.nextOffset);
            events.add(new EngineEvent.PrefillFinished(nowNanos, export));
        } else if (stream.stage == Stage.DECODING) {
            batch.add(stream);
        }
    }

    /** Removes a request and frees its KV cache reservation. */
    private void removeStream(EngineStream stream) {
        stream.stage = Stage.ENDED;
        usedKvTokens -= stream.reservedTokens;
        stream.reservedTokens = 0;
        streams.remove(stream.request.id());
        prompts.remove(stream);
        imports.remove(stream);
        batch.remove(stream);
    }

    /** Starts the next step if there is work and no step is in progress. */
    private void startStep() {
        startChangeWhenDrained();
        if (down || step.isPresent()) {
            return;
        }
        addImportedToBatch();
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

    /** Moves imported streams into the batch while the batch and the KV cache have room. */
    private void addImportedToBatch() {
        Iterator<EngineStream> candidates = imports.iterator();
        while (candidates.hasNext()) {
            EngineStream stream = candidates.next();
            if (stream.stage == Stage.IMPORTED) {
                if (!tryReserve(stream)) {
                    return;
                }
                stream.stage = Stage.DECODING;
                candidates.remove();
                batch.add(stream);
            }
        }
    }

    /**
     * Returns the prompt chunks of the next step, by priority. Once a queued prompt does not fit, no later queued
     * prompt is started in this step.
     */
    private List<Chunk> nextChunks() {
        List<Chunk> chunks = new ArrayList<>();
        int left = spec.limits().chunkTokens();
        boolean full = false;
        for (EngineStream stream : prompts) {
            if (left == 0) {
                break;
            }
            if (stream.stage == Stage.WAITING) {
                full = full || !tryReserve(stream);
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

    /** Starts the prefill of a prompt after its longest cached prefix. */
    private void startPrefill(EngineStream stream) {
        stream.stage = Stage.PREFILLING;
        int cached = cache.matchPrefixTokens(stream.request.prefixHashes());
        stream.prefilledTokens = Math.min(cached, stream.request.contextTokens() - 1);
    }

    /** Reserves KV cache and a batch slot for a stream. Returns false if there is no room. */
    private boolean tryReserve(EngineStream stream) {
        long tokens = stream.request.maxKvTokens();
        boolean slotFree = batch.size() + prefillingStreams() < spec.maxStreams() || stream.request.prefillOnly();
        if (!slotFree || usedKvTokens + tokens > spec.kvTokens()) {
            return false;
        }
        stream.reservedTokens = tokens;
        usedKvTokens += tokens;
        return true;
    }

    /** Returns the number of streams in prefill that will join the batch. */
    private int prefillingStreams() {
        int count = 0;
        for (EngineStream stream : prompts) {
            if (stream.stage == Stage.PREFILLING && !stream.request.prefillOnly()) {
                count++;
            }
        }
        return count;
    }

    /** Starts the outage of a change once the engine is drained. */
    private void startChangeWhenDrained() {
        if (change.isPresent() && !change.get().isDrained() && streams.isEmpty() && step.isEmpty()) {
            change = Optional.of(change.get().withOutageStart(nowNanos));
        }
    }

    /** Finishes a change if its outage is over. */
    private void finishChange() {
        if (change.isEmpty() || change.get().endNanos() > nowNanos) {
            return;
        }
        PlannedChange done = change.get();
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
