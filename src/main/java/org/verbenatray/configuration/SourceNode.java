package org.verbenatray.configuration;

import java.util.List;
import java.util.Map;

/** A value of a configuration file with the place it was read from. */
sealed interface SourceNode {
    /** Returns the place of the value. */
    SourcePlace place();

    /** Returns what the value is, for messages. */
    String described();

    /** Returns whether two values are equal wherever they were read from. */
    boolean sameAs(SourceNode other);

    /**
     * A single value.
     *
     * @param place the place
     * @param text the text as written, without quotation marks
     */
    record Scalar(SourcePlace place, String text) implements SourceNode {
        @Override
        public String described() {
            return ConfigurationProblem.quoted(text);
        }

        @Override
        public boolean sameAs(SourceNode other) {
            return other instanceof Scalar scalar && scalar.text.equals(text);
        }
    }

    /**
     * A null, which removes what earlier files state under the key.
     *
     * @param place the place
     */
    record Removal(SourcePlace place) implements SourceNode {
        @Override
        public String described() {
            return "null";
        }

        @Override
        public boolean sameAs(SourceNode other) {
            return other instanceof Removal;
        }
    }

    /**
     * A list.
     *
     * @param place the place
     * @param items the items in order
     */
    record Sequence(SourcePlace place, List<SourceNode> items) implements SourceNode {
        @Override
        public String described() {
            return "a list";
        }

        @Override
        public boolean sameAs(SourceNode other) {
            if (!(other instanceof Sequence sequence) || sequence.items.size() != items.size()) {
                return false;
            }
            for (int i = 0; i < items.size(); i++) {
                if (!items.get(i).sameAs(sequence.items.get(i))) {
                    return false;
                }
            }
            return true;
        }
    }

    /**
     * A mapping.
     *
     * @param place the place
     * @param entries the entries in the order of the file
     */
    record Mapping(SourcePlace place, Map<String, SourceNode> entries) implements SourceNode {
        @Override
        public String described() {
            return "a mapping";
        }

        @Override
        public boolean sameAs(SourceNode other) {
            if (!(other instanceof Mapping mapping) || !mapping.entries.keySet().equals(entries.keySet())) {
                return false;
            }
            return entries.entrySet().stream()
                    .allMatch(entry -> entry.getValue().sameAs(mapping.entries.get(entry.getKey())));
        }
    }
}
