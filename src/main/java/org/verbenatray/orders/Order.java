package org.verbenatray.orders;

import java.util.Arrays;
import java.util.Optional;
import org.verbenatray.configuration.EngineRole;

/** An instruction to an engine to change its role, its loaded models or its availability. */
public sealed interface Order {
    /** Returns the text form of the order, as used in the log and in requests to engines. */
    String action();

    /** Returns whether an engine in the given state already fulfils the order. */
    boolean isSatisfiedBy(EngineOrderState state);

    /** Parses the text form of an order; returns empty if it is not a known action. */
    static Optional<Order> parse(String action) {
        if (action.equals(Withdraw.ACTION)) {
            return Optional.of(new Withdraw());
        }
        int equals = action.indexOf('=');
        if (equals < 0) {
            return Optional.empty();
        }
        String value = action.substring(equals + 1);
        return switch (action.substring(0, equals)) {
            case "role" -> parseRole(value);
            case "load" -> ModelVersion.parse(value).map(Load::new);
            case "unload" -> ModelVersion.parse(value).map(Unload::new);
            default -> Optional.empty();
        };
    }

    /** Returns an order to change to the named role; empty if there is no such role. */
    private static Optional<Order> parseRole(String name) {
        return Arrays.stream(EngineRole.values())
                .filter(role -> role.name().equals(name))
                .findFirst()
                .map(ChangeRole::new);
    }

    /**
     * Changes the role of an engine.
     *
     * @param role the new role
     */
    record ChangeRole(EngineRole role) implements Order {
        @Override
        public String action() {
            return "role=" + role;
        }

        @Override
        public boolean isSatisfiedBy(EngineOrderState state) {
            return state.role() == role;
        }
    }

    /**
     * Loads a model version.
     *
     * @param model the model and its version
     */
    record Load(ModelVersion model) implements Order {
        @Override
        public String action() {
            return "load=" + model;
        }

        @Override
        public boolean isSatisfiedBy(EngineOrderState state) {
            return state.loaded().contains(model);
        }
    }

    /**
     * Unloads a model version.
     *
     * @param model the model and its version
     */
    record Unload(ModelVersion model) implements Order {
        @Override
        public String action() {
            return "unload=" + model;
        }

        @Override
        public boolean isSatisfiedBy(EngineOrderState state) {
            return !state.loaded().contains(model);
        }
    }

    /** Withdraws an engine from service: it accepts no new requests and finishes the ones it has. */
    record Withdraw() implements Order {
        private static final String ACTION = "withdraw";

        @Override
        public String action() {
            return ACTION;
        }

        @Override
        public boolean isSatisfiedBy(EngineOrderState state) {
            return state.withdrawn();
        }
    }
}
