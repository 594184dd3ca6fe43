package org.verbenatray.telemetry;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Supplier;

/** The dump of a process's state: named sections, each read when the dump is asked for. */
public final class StateDump {
    /** The sections by name. */
    private final Map<String, Supplier<?>> sections = new ConcurrentSkipListMap<>();

    /** Creates an empty dump. */
    private StateDump() {}

    /** Returns an empty dump. */
    public static StateDump create() {
        return new StateDump();
    }

    /** Adds a section; its value is written as JSON. */
    public StateDump section(String name, Supplier<?> value) {
        sections.put(name, value);
        return this;
    }

    /** Returns the present values by section; a section that fails holds its failure. */
    public Map<String, Object> read() {
        Map<String, Object> values = new TreeMap<>();
        sections.forEach((name, value) -> values.put(name, valueOf(value)));
        return values;
    }

    /** Returns the present value of a section. */
    private static Object valueOf(Supplier<?> section) {
        try {
            return section.get();
        } catch (RuntimeException e) {
            return "failed: " + e;
        }
    }
}
