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
 * Fleet of engines in a simulation.
 *
 * @param name the name on the command line and in results
 * @param enginesByDomain the number of engines by failure domain
 * @param roleSpec the price and limits of role changes
 * @param checkDeadlineMillis the time from the arrival to the deadline of a check in milliseconds
 * @param longDeadlineMillis the time from the arrival to the deadline of a review or brief in milliseconds
 */
public record Deployment(
        String name,
        Map<String, Integer> enginesByDomain,
        RoleSpec roleSpec,
        long checkDeadlineMillis,
        long longDeadlineMillis) {
    /** Time for which an engine is out of service during a role change, in milliseconds. */
    public static final long ROLE_CHANGE_MILLIS = 4_000;

    /** Price of a role change for the authority, in answers. */
    private static final double AUTHORITY_CHANGE_PRICE = 3;

    /** Price of a role change for the consortium, in answers. */
    private static final double CONSORTIUM_CHANGE_PRICE = 20;

    /** Returns the fleet of the skills passport authority. */
    public static Deployment authority() {
        Map<String, Integer> engines = new LinkedHashMap<>();
        engines.put("domain-1", 3);
        engines.put("domain-2", 3);
        engines.put("domain-3", 2);
        return new Deployment("authority", engines, roleSpec(AUTHORITY_CHANGE_PRICE), 3_500, 45_000);
    }

    /** Returns the fleet of the gate platform consortium. */
    public static Deployment consortium() {
        Map<String, Integer> engines = new LinkedHashMap<>();
        engines.put("domain-1", 4);
        engines.put("domain-2", 3);
        engines.put("domain-3", 3);
        engines.put("domain-4", 3);
        return new Deployment("consortium", engines, roleSpec(CONSORTIUM_CHANGE_PRICE), 5_000, 60_000);
    }

    /** Returns the fleet of the given name, or empty when the name is unknown. */
    public static Optional<Deployment> named(String name) {
        return List.of(authority(), consortium()).stream()
                .filter(deployment -> deployment.name().equals(name))
                .findFirst();
    }

    /** Returns this fleet with another price of a role change, in answers. */
    public Deployment withChangePrice(double price) {
        return new Deployment(name, enginesByDomain, roleSpec(price), checkDeadlineMillis, longDeadlineMillis);
    }

    /** Returns this fleet restricted to one failure domain. */
    public Deployment restrictedTo(String failureDomain) {
        Map<String, Integer> engines = Map.of(failureDomain, enginesByDomain.get(failureDomain));
        return new Deployment(name, engines, roleSpec, checkDeadlineMillis, longDeadlineMillis);
    }

    /** Returns the time from the arrival of a request to its deadline, in milliseconds. */
    public long deadlineMillis(RequestKind kind) {
        return kind == RequestKind.CHECK ? checkDeadlineMillis : longDeadlineMillis;
    }

    /** Returns the specifications of the engines of a failure domain, with initial roles by an assignment. */
    public List<EngineSpec> engineSpecs(String failureDomain, RoleAssignment assignment) {
        int count = enginesByDomain.get(failureDomain);
        List<EngineRole> initialRoles = assignment.roles(count);
        List<EngineSpec> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(engineSpec(failureDomain, initialRoles.get(i)));
        }
        return engines;
    }

    private static EngineSpec engineSpec(String failureDomain, EngineRole role) {
        return new EngineSpec(failureDomain, "", true, List.of(), role, 8_000, 10, 0.25, 64, 400_000);
    }

    /** Returns the limits of role changes at a price in answers. */
    private static RoleSpec roleSpec(double price) {
        return new RoleSpec(price, ROLE_CHANGE_MILLIS, 1, 8_000, 60_000);
    }
}
