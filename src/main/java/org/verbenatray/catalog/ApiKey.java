package org.verbenatray.catalog;

import java.util.Objects;

/** The secret by which a caller proves whose customer it is. Its text never shows in logs or dumps. */
public final class ApiKey {
    private final String value;

    private ApiKey(String value) {
        this.value = value;
    }

    /** Returns the key with the given text. */
    public static ApiKey of(String value) {
        return new ApiKey(Objects.requireNonNull(value, "value"));
    }

    /** Returns the text, for the request that carries it on. */
    public String value() {
        return value;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ApiKey key && key.value.equals(value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return "ApiKey[hidden]";
    }
}
