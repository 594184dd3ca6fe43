package org.verbenatray.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.verbenatray.configuration.EngineRole;

/** The roles that the engines of a failure domain start in. */
public enum Assignment implements RoleAssignment {
    /** All engines do both kinds of work. */
    BOTH,
    /** One engine for prompts, one for tokens, the others do both. */
    MIXED,
    /** As many engines for prompts as for tokens, an odd one does both. */
    SPLIT,
    /** One engine for tokens, the others for prompts. */
    PROMPTS,
    /** One engine for prompts, the others for tokens. */
    TOKENS;

    /** Returns the assignment of the given name in lower case. */
    public static Optional<Assignment> named(String name) {
        return Arrays.stream(values())
                .filter(assignment -> assignment.name().toLowerCase(Locale.ROOT).equals(name))
                .findFirst();
    }

    @Override
    public List<EngineRole> roles(int count) {
        List<EngineRole> roles = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            roles.add(role(i, count));
        }
        return roles;
    }

    /** Returns the role of one engine. */
    private EngineRole role(int index, int count) {
        boolean first = index == 0;
        boolean last = index == count - 1;
        return switch (this) {
            case BOTH -> EngineRole.BOTH;
            case MIXED -> first && count > 2 ? EngineRole.PREFILL : last ? EngineRole.DECODE : EngineRole.BOTH;
            case SPLIT ->
                2 * index + 1 == count ? EngineRole.BOTH : 2 * index < count ? EngineRole.PREFILL : EngineRole.DECODE;
            case PROMPTS -> last ? EngineRole.DECODE : EngineRole.PREFILL;
            case TOKENS -> first ? EngineRole.PREFILL : EngineRole.DECODE;
        };
    }
}
