package org.verbenatray.configuration;

import com.google.common.primitives.Longs;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.verbenatray.configuration.SourceNode.Mapping;
import org.verbenatray.configuration.SourceNode.Scalar;
import org.verbenatray.configuration.SourceNode.Sequence;

/**
 * Reads the values of one configuration entry by key and type.
 *
 * <p>An invalid value is reported as a problem and read as the default value, so that all problems are found in one
 * pass. Every key that is read counts as known to {@link #rejectUnknownKeys()}.
 */
final class EntryReader {
    private static final Pattern DECIMAL = Pattern.compile("-?[0-9]+(\\.[0-9]+)?([eE][+-]?[0-9]{1,3})?");

    /** The key of the entry with its enclosing keys, joined by dots. */
    private final String path;

    private final Mapping mapping;

    /** Shared with the readers of other entries. */
    private final List<ConfigurationProblem> problems;

    private final Set<String> knownKeys = new HashSet<>();

    private EntryReader(String path, Mapping mapping, List<ConfigurationProblem> problems) {
        this.path = path;
        this.mapping = mapping;
        this.problems = problems;
    }

    /** Returns a reader of an entry that adds problems to the given list. */
    static EntryReader create(String path, Mapping mapping, List<ConfigurationProblem> problems) {
        return new EntryReader(path, mapping, problems);
    }

    /** Returns the key of the entry with its enclosing keys, joined by dots. */
    String path() {
        return path;
    }

    /** Returns the location of the value of a key, or of the entry if the key is absent. */
    SourceLocation location(String key) {
        SourceNode node = mapping.entries().get(key);
        return node == null ? mapping.location() : node.location();
    }

    /** Returns a required text that has to match a pattern; empty if the key is absent or not a scalar. */
    String requiredText(String key, Pattern pattern, String allowed) {
        Optional<Scalar> scalar = scalar(key, allowed);
        if (scalar.isEmpty()) {
            if (!mapping.entries().containsKey(key)) {
                report(key, "nothing", allowed + " (required)");
            }
            return "";
        }
        String text = scalar.get().text();
        if (!pattern.matcher(text).matches()) {
            report(key, scalar.get().description(), allowed);
        }
        return text;
    }

    /** Returns a required name, with the limits of {@link ConfigurationLimits#NAME_PATTERN}. */
    String requiredName(String key) {
        return requiredText(key, ConfigurationLimits.NAME_PATTERN, ConfigurationLimits.ALLOWED_NAME);
    }

    /** Returns an integer from a range, or the default value if the key is absent or its value invalid. */
    long integer(String key, long min, long max, long defaultValue) {
        String allowed = "a whole number from " + min + " to " + max;
        Optional<Scalar> scalar = scalar(key, allowed);
        if (scalar.isEmpty()) {
            return defaultValue;
        }
        Long value = Longs.tryParse(scalar.get().text());
        if (value != null && value >= min && value <= max) {
            return value;
        }
        report(key, scalar.get().description(), allowed);
        return defaultValue;
    }

    /** Returns a decimal number from a range, or the default value if the key is absent or its value invalid. */
    double number(String key, double min, double max, double defaultValue) {
        String allowed = "a number from " + formatBound(min) + " to " + formatBound(max);
        Optional<Scalar> scalar = scalar(key, allowed);
        if (scalar.isEmpty()) {
            return defaultValue;
        }
        String text = scalar.get().text();
        double value = DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
        if (value >= min && value <= max) {
            return value;
        }
        report(key, scalar.get().description(), allowed);
        return defaultValue;
    }

    /** Returns a boolean, or the default value if the key is absent or its value invalid. */
    boolean flag(String key, boolean defaultValue) {
        Optional<Scalar> scalar = scalar(key, "true or false");
        if (scalar.isEmpty()) {
            return defaultValue;
        }
        String text = scalar.get().text();
        if (text.equals("true") || text.equals("false")) {
            return text.equals("true");
        }
        report(key, scalar.get().description(), "true or false");
        return defaultValue;
    }

    /** Returns an enum constant written in any case, or the default value if the key is absent or its value invalid. */
    <E extends Enum<E>> E enumConstant(String key, Class<E> type, E defaultValue) {
        String allowed = "one of " + List.of(type.getEnumConstants());
        Optional<Scalar> scalar = scalar(key, allowed);
        if (scalar.isEmpty()) {
            return defaultValue;
        }
        String text = scalar.get().text().toUpperCase(Locale.ROOT);
        for (E constant : type.getEnumConstants()) {
            if (constant.name().equals(text)) {
                return constant;
            }
        }
        report(key, scalar.get().description(), allowed);
        return defaultValue;
    }

    /** Returns a list of distinct names, leaving out invalid ones and duplicates. */
    List<String> names(String key) {
        List<String> names = new ArrayList<>();
        for (SourceNode item : items(key, "a list of names")) {
            boolean isName = item instanceof Scalar scalar
                    && ConfigurationLimits.NAME_PATTERN.matcher(scalar.text()).matches();
            if (!isName) {
                report(item.location(), key, item.description(), ConfigurationLimits.ALLOWED_NAME);
            } else if (names.contains(((Scalar) item).text())) {
                report(item.location(), key, item.description() + " a second time", "each name once");
            } else {
                names.add(((Scalar) item).text());
            }
        }
        return List.copyOf(names);
    }

    /** Returns the items of a list; empty if the key is absent or not a list. */
    List<SourceNode> items(String key, String allowed) {
        knownKeys.add(key);
        SourceNode node = mapping.entries().get(key);
        if (node == null) {
            return List.of();
        }
        if (node instanceof Sequence sequence) {
            return sequence.items();
        }
        report(key, node.description(), allowed);
        return List.of();
    }

    /** Returns a reader of the mapping under a key; empty if the key is absent or not a mapping. */
    Optional<EntryReader> child(String key) {
        knownKeys.add(key);
        SourceNode node = mapping.entries().get(key);
        if (node instanceof Mapping child) {
            return Optional.of(create(keyPath(key), child, problems));
        }
        if (node != null) {
            report(key, node.description(), "a mapping");
        }
        return Optional.empty();
    }

    /** Returns a reader for each mapping under a key, with its name, in the order of the file. */
    List<NamedEntry> children(String key) {
        List<NamedEntry> readers = new ArrayList<>();
        child(key)
                .ifPresent(section -> section.mapping
                        .entries()
                        .keySet()
                        .forEach(name ->
                                section.child(name).ifPresent(entry -> readers.add(new NamedEntry(name, entry)))));
        return readers;
    }

    /** Reports every key of the entry that was not read before. */
    void rejectUnknownKeys() {
        mapping.entries().forEach((key, value) -> {
            if (!knownKeys.contains(key)) {
                String allowed = "one of " + knownKeys.stream().sorted().toList();
                report(value.location(), key, "an unknown key", allowed);
            }
        });
    }

    /** Reports a problem at the location of a key, or of the entry if the key is absent. */
    void report(String key, String found, String allowed) {
        report(location(key), key, found, allowed);
    }

    /** Reports a problem of a key at a given location. */
    void report(SourceLocation location, String key, String found, String allowed) {
        problems.add(ConfigurationProblem.at(location, keyPath(key), found, allowed));
    }

    private Optional<Scalar> scalar(String key, String allowed) {
        knownKeys.add(key);
        SourceNode node = mapping.entries().get(key);
        if (node instanceof Scalar scalar) {
            return Optional.of(scalar);
        }
        if (node != null) {
            report(key, node.description(), allowed);
        }
        return Optional.empty();
    }

    private String keyPath(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Returns a bound for messages, without the fraction if it is a whole number. */
    private static String formatBound(double bound) {
        return bound == Math.rint(bound) ? Long.toString((long) bound) : Double.toString(bound);
    }

    /**
     * A reader of a named entry.
     *
     * @param name the name
     * @param reader the reader of the entry
     */
    record NamedEntry(String name, EntryReader reader) {}
}
