package org.verbenatray.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.configuration.FleetConfiguration.RoleSpec;

/**
 * A fleet of the experiments.
 *
 * @param name the name
 * @param enginesByDomain the number of engines by failure domain
 * @param roles the price and bounds of role changes
 * @param checkMillis the time in which a check has to be answered in milliseconds
 * @param longMillis the time in which a review or brief has to be answered in milliseconds
 */
public record Deployment(
        String name, Map<String, Integer> enginesByDomain, RoleSpec roles, long checkMillis, long longMillis) {
    /** The time without service of a role change in milliseconds. */
    public static final long CHANGE_MILLIS = 4_000;

    /** The price of a change at the Authority in answers. */
    private static final double AUTHORITY_PRICE = 3;

    /** The price of a change at the Consortium in answers. */
    private static final double CONSORTIUM_PRICE = 20;

    /** Returns the skills passport authority's fleet. */
    public static Deployment authority() {
        Map<String, Integer> engines = new LinkedHashMap<>();
        engines.put("lhr-gulberg", 3);
        engines.put("lhr-johar", 3);
        engines.put("lhr-shahdara", 2);
        return new Deployment("authority", engines, rolesAt(AUTHORITY_PRICE), 3_500, 45_000);
    }

    /** Returns the gate platform consortium's fleet. */
    public static Deployment consortium() {
        Map<String, Integer> engines = new LinkedHashMap<>();
        engines.put("bog-norte", 4);
        engines.put("bog-sur", 3);
        engines.put("mde-rionegro", 3);
        engines.put("clo-palmira", 3);
        return new Deployment("consortium", engines, rolesAt(CONSORTIUM_PRICE), 5_000, 60_000);
    }

    /** Returns the fleet of the given name. */
    public static Optional<Deployment> named(String name) {
        return List.of(authority(), consortium()).stream()
                .filter(deployment -> deployment.name().equals(name))
                .findFirst();
    }

    /** Returns the same fleet with another price of a change in answers. */
    public Deployment atPrice(double price) {
        return new Deployment(name, enginesByDomain, rolesAt(price), checkMillis, longMillis);
    }

    /** Returns the part of the fleet in one failure domain. */
    public Deployment only(String failureDomain) {
        Map<String, Integer> engines = Map.of(failureDomain, enginesByDomain.get(failureDomain));
        return new Deployment(name, engines, roles, checkMillis, longMillis);
    }

    /** Returns the time in which a request has to be answered in milliseconds. */
    public long deadlineMillis(RequestKind kind) {
        return kind == RequestKind.CHECK ? checkMillis : longMillis;
    }

    /** Returns the engines of a failure domain in the roles of an assignment. */
    public List<EngineSpec> engines(String failureDomain, RoleAssignment assignment) {
        int count = enginesByDomain.get(failureDomain);
        List<EngineRole> initialRoles = assignment.roles(count);
        List<EngineSpec> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(engine(failureDomain, initialRoles.get(i)));
        }
        return engines;
    }

    /** Returns one engine. */
    private static EngineSpec engine(String failureDomain, EngineRole role) {
        return new EngineSpec(failureDomain, "", true, List.of(), role, 8_000, 10, 0.25, 64, 400_000);
    }

    /** Returns the bounds of role changes at a price. */
    private static RoleSpec rolesAt(double price) {
        return new RoleSpec(price, CHANGE_MILLIS, 1, 8_000, 60_000);
    }
}
