package org.verbenatray.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import org.verbenatray.bench.FleetFiles.FleetSize;

/** Measures the control work and the state of one instance at several sizes. */
public final class ControlBench {
    /** The customers of the idle instance. */
    private static final int CUSTOMERS = 90;

    /** The models. */
    private static final int MODELS = 14;

    /** Prevents instances. */
    private ControlBench() {}

    /**
     * Measures.
     *
     * @param engines the engines of a failure domain
     * @param peers the instances of a failure domain
     * @param domains the failure domains
     * @param requests the requests per second at each instance, by which load changes, besides none
     */
    public static void run(
            PrintStream out,
            List<Integer> engines,
            List<Integer> peers,
            List<Integer> domains,
            int requests,
            double seconds)
            throws IOException, InterruptedException {
        BenchPoints points = BenchPoints.create(out);
        IdleInstance.measure(new FleetSize(CUSTOMERS, engines.get(0), MODELS), 1);
        for (int count : engines) {
            points.add("idle-instance", IdleInstance.measure(new FleetSize(CUSTOMERS, count, MODELS), seconds));
        }
        for (int ofDomains : domains) {
            for (int count : peers) {
                for (int rate : new int[] {0, requests}) {
                    int largest = engines.get(engines.size() - 1);
                    points.add("peer-links", LinkMesh.measure(count, ofDomains, largest, rate, seconds));
                }
            }
        }
        StateSizes.measure(points, engines.get(0));
        points.tables();
    }
}
