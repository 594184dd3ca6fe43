package org.verbenatray.catalog;

import java.util.Map;
import java.util.Optional;

/** The customers of a catalog version by their API keys, or none where callers need no key. Immutable. */
public final class Customers {
    private static final Customers NONE = new Customers(false, Map.of());

    private final boolean required;

    private final Map<ApiKey, Customer> byKey;

    private Customers(boolean required, Map<ApiKey, Customer> byKey) {
        this.required = required;
        this.byKey = byKey;
    }

    /** Returns the customers of a deployment whose callers need no key. */
    public static Customers notRequired() {
        return NONE;
    }

    /** Returns the given customers; callers need a key of one of them, also if there is none. */
    public static Customers byKey(Map<ApiKey, Customer> customers) {
        return new Customers(true, Map.copyOf(customers));
    }

    /** Returns whether callers need a key, except on routes that are open to all. */
    public boolean required() {
        return required;
    }

    /** Returns the number of keys. */
    public int keyCount() {
        return byKey.size();
    }

    /** Returns the customer with a name; empty if there is none. */
    public Optional<Customer> named(String name) {
        return byKey.values().stream()
                .filter(customer -> customer.name().equals(name))
                .findFirst();
    }

    /** Returns the customer that holds a key; empty if no one does. */
    public Optional<Customer> holderOf(ApiKey key) {
        return Optional.ofNullable(byKey.get(key));
    }
}
