package org.verbenatray.telemetry;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Supplier;

/** A dump of the state of a process: named sections whose values are collected on request; thread-safe. */
public final class StateDump {
    private final Map<String, Supplier<?>> sections = new ConcurrentSkipListMap<>();

    private StateDump() {}

    /** Returns an empty dump. */
    public static StateDump create() {
        return new StateDump();
    }

    /** Adds a section, whose value is written as JSON, and returns this dump. */
    public StateDump addSection(String name, Supplier<?> value) {
        sections.put(name, value);
        return this;
    }

    /** Returns the current values by section name; the value of a section that throws is the text of the exception. */
    public Map<String, Object> collect() {
        Map<String, Object> values = new TreeMap<>();
        sections.forEach((name, value) -> values.put(name, valueOf(value)));
        return values;
    }

    private static Object valueOf(Supplier<?> section) {
        try {
            return section.get();
        } catch (RuntimeException e) {
            return "failed: " + e;
        }
    }
}
