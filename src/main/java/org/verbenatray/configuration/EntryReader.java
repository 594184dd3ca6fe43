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

/** Reads the typed keys of one entry and reports what breaks a rule; a bad value reads as its default. */
final class EntryReader {
    /** The form of decimal numbers. */
    private static final Pattern DECIMAL = Pattern.compile("-?[0-9]+(\\.[0-9]+)?([eE][+-]?[0-9]{1,3})?");

    /** The key of the entry. */
    private final String path;

    /** The entry. */
    private final Mapping mapping;

    /** Where problems are added. */
    private final List<ConfigurationProblem> problems;

    /** The keys that were asked for. */
    private final Set<String> known = new HashSet<>();

    /** Creates a reader. */
    private EntryReader(String path, Mapping mapping, List<ConfigurationProblem> problems) {
        this.path = path;
        this.mapping = mapping;
        this.problems = problems;
    }

    /** Returns a reader of an entry that adds problems to the list. */
    static EntryReader create(String path, Mapping mapping, List<ConfigurationProblem> problems) {
        return new EntryReader(path, mapping, problems);
    }

    /** Returns the key of the entry. */
    String path() {
        return path;
    }

    /** Returns the place of a key, or of the entry when the key is absent. */
    SourcePlace place(String key) {
        SourceNode node = mapping.entries().get(key);
        return node == null ? mapping.place() : node.place();
    }

    /** Returns a required text of a given form. */
    String requiredText(String key, Pattern form, String allowed) {
        Optional<Scalar> scalar = scalar(key, allowed);
        if (scalar.isEmpty()) {
            if (!mapping.entries().containsKey(key)) {
                report(key, "nothing", allowed + " (required)");
            }
            return "";
        }
        String text = scalar.get().text();
        if (!form.matcher(text).matches()) {
            report(key, scalar.get().described(), allowed);
        }
        return text;
    }

    /** Returns a required name. */
    String requiredName(String key) {
        return requiredText(key, ConfigurationLimits.NAME, ConfigurationLimits.NAME_FORM);
    }

    /** Returns an integer within a range. */
    long integer(String key, long min, long max, long absent) {
        String allowed = "a whole number from " + min + " to " + max;
        Optional<Scalar> scalar = scalar(key, allowed);
        if (scalar.isEmpty()) {
            return absent;
        }
        Long value = Longs.tryParse(scalar.get().text());
        if (value != null && value >= min && value <= max) {
            return value;
        }
        report(key, scalar.get().described(), allowed);
        return absent;
    }

    /** Returns a number within a range. */
    double number(String key, double min, double max, double absent) {
        String allowed = "a number from " + plain(min) + " to " + plain(max);
        Optional<Scalar> scalar = scalar(key, allowed);
        if (scalar.isEmpty()) {
            return absent;
        }
        String text = scalar.get().text();
        double value = DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
        if (value >= min && value <= max) {
            return value;
        }
        report(key, scalar.get().described(), allowed);
        return absent;
    }

    /** Returns a truth value. */
    boolean flag(String key, boolean absent) {
        Optional<Scalar> scalar = scalar(key, "true or false");
        if (scalar.isEmpty()) {
            return absent;
        }
        String text = scalar.get().text();
        if (text.equals("true") || text.equals("false")) {
            return text.equals("true");
        }
        report(key, scalar.get().described(), "true or false");
        return absent;
    }

    /** Returns a constant of an enumeration, written in any case. */
    <E extends Enum<E>> E constant(String key, Class<E> type, E absent) {
        String allowed = "one of " + List.of(type.getEnumConstants());
        Optional<Scalar> scalar = scalar(key, allowed);
        if (scalar.isEmpty()) {
            return absent;
        }
        String text = scalar.get().text().toUpperCase(Locale.ROOT);
        for (E constant : type.getEnumConstants()) {
            if (constant.name().equals(text)) {
                return constant;
            }
        }
        report(key, scalar.get().described(), allowed);
        return absent;
    }

    /** Returns a list of distinct names. */
    List<String> names(String key) {
        List<String> names = new ArrayList<>();
        for (SourceNode item : items(key, "a list of names")) {
            boolean isName = item instanceof Scalar scalar
                    && ConfigurationLimits.NAME.matcher(scalar.text()).matches();
            if (!isName) {
                report(item.place(), key, item.described(), ConfigurationLimits.NAME_FORM);
            } else if (names.contains(((Scalar) item).text())) {
                report(item.place(), key, item.described() + " a second time", "each name once");
            } else {
                names.add(((Scalar) item).text());
            }
        }
        return List.copyOf(names);
    }

    /** Returns the items of a list, none when the key is absent. */
    List<SourceNode> items(String key, String allowed) {
        known.add(key);
        SourceNode node = mapping.entries().get(key);
        if (node == null) {
            return List.of();
        }
        if (node instanceof Sequence sequence) {
            return sequence.items();
        }
        report(key, node.described(), allowed);
        return List.of();
    }

    /** Returns a reader of the mapping under a key, empty when the key is absent or no mapping. */
    Optional<EntryReader> child(String key) {
        known.add(key);
        SourceNode node = mapping.entries().get(key);
        if (node instanceof Mapping child) {
            return Optional.of(create(keyPath(key), child, problems));
        }
        if (node != null) {
            report(key, node.described(), "a mapping");
        }
        return Optional.empty();
    }

    /** Returns readers of the mappings under a key, by name. */
    List<Named> children(String key) {
        List<Named> readers = new ArrayList<>();
        child(key)
                .ifPresent(section -> section.mapping
                        .entries()
                        .keySet()
                        .forEach(name -> section.child(name).ifPresent(entry -> readers.add(new Named(name, entry)))));
        return readers;
    }

    /** Reports every key of the entry that was not asked for. */
    void rejectUnknownKeys() {
        mapping.entries().forEach((key, value) -> {
            if (!known.contains(key)) {
                String allowed = "one of " + known.stream().sorted().toList();
                report(value.place(), key, "an unknown key", allowed);
            }
        });
    }

    /** Reports a problem of a key. */
    void report(String key, String found, String allowed) {
        report(place(key), key, found, allowed);
    }

    /** Reports a problem of a key at a place. */
    void report(SourcePlace place, String key, String found, String allowed) {
        problems.add(ConfigurationProblem.at(place, keyPath(key), found, allowed));
    }

    /** Returns the scalar under a key. */
    private Optional<Scalar> scalar(String key, String allowed) {
        known.add(key);
        SourceNode node = mapping.entries().get(key);
        if (node instanceof Scalar scalar) {
            return Optional.of(scalar);
        }
        if (node != null) {
            report(key, node.described(), allowed);
        }
        return Optional.empty();
    }

    /** Returns the key with the keys that enclose it. */
    private String keyPath(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Returns a bound without a needless fraction. */
    private static String plain(double bound) {
        return bound == Math.rint(bound) ? Long.toString((long) bound) : Double.toString(bound);
    }

    /**
     * An entry with its name.
     *
     * @param name the name
     * @param reader the reader of the entry
     */
    record Named(String name, EntryReader reader) {}
}
