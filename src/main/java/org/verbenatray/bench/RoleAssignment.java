package org.verbenatray.bench;

import java.util.ArrayList;
import java.util.List;
import org.verbenatray.configuration.EngineRole;

/** Gives the engines of a failure domain their roles. */
@FunctionalInterface
public interface RoleAssignment {
    /** Returns the roles of the given number of engines. */
    List<EngineRole> roles(int count);

    /** Returns all assignments of a number of engines that serve prompts and tokens, without mere permutations. */
    static List<List<EngineRole>> all(int count) {
        List<List<EngineRole>> all = new ArrayList<>();
        for (int prefill = 0; prefill <= count; prefill++) {
            for (int decode = 0; decode <= count - prefill; decode++) {
                int both = count - prefill - decode;
                if (prefill + both > 0 && decode + both > 0) {
                    all.add(of(prefill, both, decode));
                }
            }
        }
        return all;
    }

    /** Returns the roles of the given numbers of engines. */
    private static List<EngineRole> of(int prefill, int both, int decode) {
        List<EngineRole> roles = new ArrayList<>();
        for (int i = 0; i < prefill + both + decode; i++) {
            roles.add(i < prefill ? EngineRole.PREFILL : i < prefill + both ? EngineRole.BOTH : EngineRole.DECODE);
        }
        return roles;
    }
}
