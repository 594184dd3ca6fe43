package org.verbenatray.bench;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.IntFunction;
import org.verbenatray.configuration.ConfigurationMerger;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.configuration.MergeResult;

/** Configuration files of fleets of any size. */
final class FleetFiles {
    /** The customers of one file. */
    private static final int CUSTOMERS_PER_FILE = 100;

    /** The engines of one file. */
    private static final int ENGINES_PER_FILE = 100;

    /** Prevents instances. */
    private FleetFiles() {}

    /**
     * Returns the files of a fleet.
     *
     * @param domains the failure domains, over which the engines are spread in turn
     * @param address returns the base URI of an engine
     */
    static SortedMap<String, String> of(FleetSize size, int domains, IntFunction<String> address) {
        SortedMap<String, String> files = new TreeMap<>();
        files.put("models.yaml", models(size.models()));
        for (int first = 0; first < size.customers(); first += CUSTOMERS_PER_FILE) {
            int end = Math.min(size.customers(), first + CUSTOMERS_PER_FILE);
            files.put("customers-" + first + ".yaml", customers(first, end, 0));
        }
        for (int first = 0; first < size.engines(); first += ENGINES_PER_FILE) {
            int end = Math.min(size.engines(), first + ENGINES_PER_FILE);
            files.put("engines-" + first + ".yaml", engines(first, end, domains, address));
        }
        return files;
    }

    /** Returns the merged configuration of files. */
    static FleetConfiguration merged(SortedMap<String, String> files) {
        MergeResult merged = ConfigurationMerger.merge(files);
        return merged.fleet().orElseThrow(() -> new IllegalStateException("wrong files: " + merged.problems()));
    }

    /** Returns the first file of customers, whose first customer has a weight of its own for each version. */
    static Map.Entry<String, String> edited(FleetSize size, int version) {
        int end = Math.min(size.customers(), CUSTOMERS_PER_FILE);
        return Map.entry("customers-0.yaml", customers(0, end, version));
    }

    /** Returns the name of a failure domain. */
    static String domain(int index) {
        return "domain-" + (index + 1);
    }

    /** Returns the name of an engine. */
    static String engine(int index) {
        return "engine-" + index;
    }

    /** Returns a file of models. */
    private static String models(int count) {
        List<String> lines = new ArrayList<>(List.of("models:"));
        for (int i = 0; i < count; i++) {
            lines.add("  model-" + i + ":");
            lines.add("    version: \"1\"");
            lines.add("    priority: " + (20 + i % 3 * 20));
        }
        return String.join("\n", lines) + "\n";
    }

    /** Returns a file of customers. */
    private static String customers(int first, int end, int version) {
        List<String> lines = new ArrayList<>(List.of("customers:"));
        for (int i = first; i < end; i++) {
            String key = Hashing.sha256()
                    .hashString("key-" + i, StandardCharsets.UTF_8)
                    .toString();
            lines.add("  customer-" + i + ":");
            lines.add("    keySha256: " + key);
            lines.add("    weight: " + (i == first ? 1 + version % 900 : 1));
            lines.add("    requestsPerSecond: 100");
            lines.add("    tokensPerSecond: 100000");
            lines.add("    maxOpen: 100");
        }
        return String.join("\n", lines) + "\n";
    }

    /** Returns a file of engines. */
    private static String engines(int first, int end, int domains, IntFunction<String> address) {
        List<String> lines = new ArrayList<>(List.of("engines:"));
        for (int i = first; i < end; i++) {
            lines.add("  " + engine(i) + ":");
            lines.add("    failureDomain: " + domain(i % domains));
            lines.add("    address: " + address.apply(i));
            lines.add("    checksFencing: true");
            lines.add("    initialRole: BOTH");
            lines.add("    maxStreams: 64");
        }
        return String.join("\n", lines) + "\n";
    }

    /**
     * The size of a fleet.
     *
     * @param customers the customers
     * @param engines the engines
     * @param models the models
     */
    record FleetSize(int customers, int engines, int models) {}
}
