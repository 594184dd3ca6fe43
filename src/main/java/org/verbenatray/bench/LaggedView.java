package org.verbenatray.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.fleet.EngineCondition;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.standin.engine.EngineLoad;

/** What the deciding side knows of an engine: its last delivered report and the own dispatches since. */
final class LaggedView {
    /** Nanoseconds in one millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The engine's name. */
    private final String name;

    /** The engine's configuration. */
    private final EngineSpec spec;

    /** The own dispatches that the last report may not contain. */
    private final Deque<Dispatch> dispatches = new ArrayDeque<>();

    /** The last delivered report. */
    private EngineLoad report;

    /** Whether the engine is known to be leaving or changing before a report says so. */
    private EngineCondition known = EngineCondition.READY;

    /** Creates the view from a first report. */
    LaggedView(String name, EngineSpec spec, EngineLoad report) {
        this.name = name;
        this.spec = spec;
        this.report = report;
    }

    /** Takes a report unless a newer one came first. */
    void deliver(EngineLoad delivered) {
        if (delivered.atNanos() < report.atNanos()) {
            return;
        }
        report = delivered;
        while (!dispatches.isEmpty() && dispatches.peekFirst().atNanos() <= delivered.atNanos()) {
            dispatches.removeFirst();
        }
    }

    /** Notes work that was sent to the engine. */
    void dispatched(long nowNanos, int streams, int promptTokens, int kvTokens) {
        dispatches.addLast(new Dispatch(nowNanos, streams, promptTokens, kvTokens));
    }

    /** Notes a condition that is known ahead of the reports. */
    void know(EngineCondition condition) {
        known = condition;
    }

    /** Returns the view. */
    EngineView at(long nowNanos) {
        int streams = report.runningStreams();
        long prompts = report.queuedPrefillTokens();
        long kv = report.usedKvTokens();
        for (Dispatch dispatch : dispatches) {
            streams += dispatch.streams();
            prompts += dispatch.promptTokens();
            kv += dispatch.kvTokens();
        }
        EngineCondition condition = known == EngineCondition.READY ? report.condition() : known;
        long age = (nowNanos - report.atNanos()) / NANOS_PER_MILLI;
        return new EngineView(name, spec, report.role(), condition, streams, prompts, kv, age, false);
    }

    /**
     * Work that was sent to the engine.
     *
     * @param atNanos when
     * @param streams the streams
     * @param promptTokens the prompt tokens
     * @param kvTokens the tokens in KV cache
     */
    private record Dispatch(long atNanos, int streams, int promptTokens, int kvTokens) {}
}
