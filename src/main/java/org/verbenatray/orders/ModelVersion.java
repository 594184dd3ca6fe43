package org.verbenatray.orders;

import java.util.Optional;

/**
 * A version of a model or of an adapter.
 *
 * @param name the name of the model or adapter
 * @param version the version
 */
public record ModelVersion(String name, String version) {
    /** The separator of name and version in the text form. */
    private static final char SEPARATOR = '@';

    /** Parses a text of the form {@code model@version}; returns empty if the text does not have this form. */
    public static Optional<ModelVersion> parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        if (separator <= 0 || separator == text.length() - 1) {
            return Optional.empty();
        }
        return Optional.of(new ModelVersion(text.substring(0, separator), text.substring(separator + 1)));
    }

    @Override
    public String toString() {
        return name + SEPARATOR + version;
    }
}
