package org.verbenatray.admission;

import static org.verbenatray.fleet.FleetFixtures.MILLI;
import static org.verbenatray.fleet.FleetFixtures.MODEL;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.configuration.FleetConfiguration.CustomerSpec;
import org.verbenatray.configuration.FleetConfiguration.ModelSpec;
import org.verbenatray.configuration.FleetConfiguration.RoleSpec;
import org.verbenatray.time.Deadline;

/** Customers, requests and capacities for tests of admission. */
final class AdmissionFixtures {
    /** A customer without limits that a test reaches. */
    static final CustomerSpec FREE = new CustomerSpec("", 1, 1e6, 1e9, 100_000, 1);

    /** Five engines that process 20,000 prompt tokens a second each and generate 32 streams each at 20 ms. */
    static final ModelCapacity CAPACITY = new ModelCapacity(100_000, 20_000, 160, 20, 400_000);

    /** What an idle engine promises to a request of 1,000 prompt tokens. */
    static final Optional<Expectation> IDLE = Optional.of(new Expectation(0, 50, 20));

    private AdmissionFixtures() {}

    /** Returns a controller with one model, the usual capacity and the given customers. */
    static AdmissionController controller(Map<String, CustomerSpec> customers, AdmissionBounds bounds) {
        AdmissionController controller = AdmissionController.create(bounds);
        controller.onConfiguration(configuration(customers), 0);
        controller.onCapacity(MODEL, CAPACITY, 0);
        return controller;
    }

    /** Returns a configuration with one model and the given customers. */
    static FleetConfiguration configuration(Map<String, CustomerSpec> customers) {
        ModelSpec model = new ModelSpec("1", List.of(), 1, List.of(), 100_000);
        RoleSpec roles = new RoleSpec(20, 5_000, 1, 15_000, 120_000);
        return new FleetConfiguration(Map.of(MODEL, model), new TreeMap<>(customers), Map.of(), Map.of(), roles);
    }

    /** Returns a request of 1,000 prompt and 100 output tokens, which takes 2,050 ms alone and drains in 12.5 ms. */
    static AdmissionRequest request(String customer, int priority, long deadlineMillis) {
        return new AdmissionRequest(customer, MODEL, priority, 1_000, 100, new Deadline(deadlineMillis * MILLI));
    }

    /** Returns the refusal of an admission. */
    static Refusal refusal(Admission admission) {
        return ((Admission.Refused) admission).refusal();
    }

    /** Returns the ticket of an admission that is not refused. */
    static Ticket ticket(Admission admission) {
        return admission instanceof Admission.Admitted admitted
                ? admitted.ticket()
                : ((Admission.Queued) admission).ticket();
    }
}
