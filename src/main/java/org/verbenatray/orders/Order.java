package org.verbenatray.orders;

import java.util.Arrays;
import java.util.Optional;
import org.verbenatray.configuration.EngineRole;

/** What an engine is told to do. */
public sealed interface Order {
    /** Returns the form in which the journal and the engines carry the order. */
    String action();

    /** Returns whether the given state is the one that the order asks for. */
    boolean isShownBy(EngineOrderState state);

    /** Returns the order of an action, empty when it is none. */
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

    /** Returns the change to a named role, empty when there is no such role. */
    private static Optional<Order> parseRole(String name) {
        return Arrays.stream(EngineRole.values())
                .filter(role -> role.name().equals(name))
                .findFirst()
                .map(ChangeRole::new);
    }

    /**
     * A change of the role.
     *
     * @param role the new role
     */
    record ChangeRole(EngineRole role) implements Order {
        @Override
        public String action() {
            return "role=" + role;
        }

        @Override
        public boolean isShownBy(EngineOrderState state) {
            return state.role() == role;
        }
    }

    /**
     * The loading of a model version.
     *
     * @param model the model and its version
     */
    record Load(ModelVersion model) implements Order {
        @Override
        public String action() {
            return "load=" + model;
        }

        @Override
        public boolean isShownBy(EngineOrderState state) {
            return state.loaded().contains(model);
        }
    }

    /**
     * The unloading of a model version.
     *
     * @param model the model and its version
     */
    record Unload(ModelVersion model) implements Order {
        @Override
        public String action() {
            return "unload=" + model;
        }

        @Override
        public boolean isShownBy(EngineOrderState state) {
            return !state.loaded().contains(model);
        }
    }

    /** The withdrawal of the engine: it takes nothing new and finishes what it has. */
    record Withdraw() implements Order {
        /** The action of a withdrawal. */
        private static final String ACTION = "withdraw";

        @Override
        public String action() {
            return ACTION;
        }

        @Override
        public boolean isShownBy(EngineOrderState state) {
            return state.withdrawn();
        }
    }
}
