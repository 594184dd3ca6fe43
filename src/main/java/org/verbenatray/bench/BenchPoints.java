package org.verbenatray.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.verbenatray.log.RecordCodec;

/** Prints each measured point as one line of JSON and all points of one kind as a table. */
final class BenchPoints {
    /** Where the points are printed. */
    private final PrintStream out;

    /** The points by kind. */
    private final Map<String, List<Map<String, Object>>> kinds = new LinkedHashMap<>();

    /** Creates a printer. */
    private BenchPoints(PrintStream out) {
        this.out = out;
    }

    /** Returns a printer to a stream. */
    static BenchPoints create(PrintStream out) {
        return new BenchPoints(out);
    }

    /** Prints a point; all points of one kind have the same names of values. */
    void add(String kind, Map<String, Object> values) {
        Map<String, Object> point = new LinkedHashMap<>();
        point.put("point", kind);
        values.forEach((name, value) -> point.put(name, rounded(value)));
        out.println(RecordCodec.encode(point));
        point.remove("point");
        kinds.computeIfAbsent(kind, name -> new ArrayList<>()).add(point);
    }

    /** Prints one table per kind. */
    void tables() {
        kinds.forEach((kind, points) -> {
            out.println();
            out.println(kind);
            out.println("| " + String.join(" | ", points.get(0).keySet()) + " |");
            out.println("|" + "---|".repeat(points.get(0).size()));
            for (Map<String, Object> point : points) {
                List<String> cells =
                        point.values().stream().map(String::valueOf).toList();
                out.println("| " + String.join(" | ", cells) + " |");
            }
        });
    }

    /** Returns a value with four significant digits at most after the point. */
    private static Object rounded(Object value) {
        if (value instanceof Double number) {
            return Double.isFinite(number) ? Math.round(number * 10_000) / 10_000.0 : 0.0;
        }
        return value;
    }
}
