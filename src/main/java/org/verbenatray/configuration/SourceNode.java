package org.verbenatray.configuration;

import java.util.List;
import java.util.Map;

/** A value in a configuration file with its location. */
sealed interface SourceNode {
    /** Returns the location of the value. */
    SourceLocation location();

    /** Returns a description of the value for messages. */
    String description();

    /** Returns whether two values are equal, regardless of their locations and the order of keys in mappings. */
    boolean hasSameContent(SourceNode other);

    /**
     * A scalar value.
     *
     * @param location the location
     * @param text the text as written, without quotation marks
     */
    record Scalar(SourceLocation location, String text) implements SourceNode {
        @Override
        public String description() {
            return ConfigurationProblem.quoted(text);
        }

        @Override
        public boolean hasSameContent(SourceNode other) {
            return other instanceof Scalar scalar && scalar.text.equals(text);
        }
    }

    /**
     * A null, which removes the value that earlier files set for the key.
     *
     * @param location the location
     */
    record Removal(SourceLocation location) implements SourceNode {
        @Override
        public String description() {
            return "null";
        }

        @Override
        public boolean hasSameContent(SourceNode other) {
            return other instanceof Removal;
        }
    }

    /**
     * A list.
     *
     * @param location the location
     * @param items the items in order
     */
    record Sequence(SourceLocation location, List<SourceNode> items) implements SourceNode {
        @Override
        public String description() {
            return "a list";
        }

        @Override
        public boolean hasSameContent(SourceNode other) {
            if (!(other instanceof Sequence sequence) || sequence.items.size() != items.size()) {
                return false;
            }
            for (int i = 0; i < items.size(); i++) {
                if (!items.get(i).hasSameContent(sequence.items.get(i))) {
                    return false;
                }
            }
            return true;
        }
    }

    /**
     * A mapping.
     *
     * @param location the location
     * @param entries the entries in the order of the file
     */
    record Mapping(SourceLocation location, Map<String, SourceNode> entries) implements SourceNode {
        @Override
        public String description() {
            return "a mapping";
        }

        @Override
        public boolean hasSameContent(SourceNode other) {
            if (!(other instanceof Mapping mapping) || !mapping.entries.keySet().equals(entries.keySet())) {
                return false;
            }
            return entries.entrySet().stream()
                    .allMatch(entry -> entry.getValue().hasSameContent(mapping.entries.get(entry.getKey())));
        }
    }
}
