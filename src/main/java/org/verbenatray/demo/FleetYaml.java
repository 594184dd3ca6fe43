package org.verbenatray.demo;

import org.verbenatray.demo.EmbeddedDeployment.Shape;

/** Builds the configuration file of an embedded deployment, section by section in the order of the methods. */
final class FleetYaml {
    /** The increase of the decode step duration per additional stream, in milliseconds. */
    static final double STEP_MILLIS_PER_STREAM = 0.05;

    /** The maximum number of concurrent streams of an engine. */
    static final int MAX_STREAMS = 64;

    /** The capacity of the KV cache of an engine in tokens. */
    static final long KV_TOKENS = 1_000_000;

    private final Shape shape;

    private final StringBuilder yaml = new StringBuilder();

    private boolean hasServices;

    private boolean hasEngines;

    private FleetYaml(Shape shape) {
        this.shape = shape;
    }

    /** Returns an empty file. */
    static FleetYaml empty(Shape shape) {
        return new FleetYaml(shape);
    }

    /** Returns a file with the section of the models. */
    static FleetYaml withModels(Shape shape) {
        FleetYaml fleet = new FleetYaml(shape);
        fleet.yaml
                .append("models:\n")
                .append("  quick-check:\n    version: \"1\"\n    priority: 80\n")
                .append("  long-review:\n    version: \"1\"\n    priority: 20\n");
        return fleet;
    }

    /** Adds the section of the customers with one customer. */
    void addCustomer(String name, String keySha256) {
        yaml.append("customers:\n  ")
                .append(name)
                .append(":\n    keySha256: ")
                .append(keySha256)
                .append("\n    requestsPerSecond: 100000\n    tokensPerSecond: 100000000\n    maxOpen: 10000\n")
                .append("    priority: 0\n");
    }

    /** Adds a server of the plain service. */
    void addServiceServer(String name, String failureDomain, String address) {
        if (!hasServices) {
            hasServices = true;
            yaml.append("services:\n  registry:\n    servers:\n");
        }
        yaml.append("      ").append(name).append(":\n        failureDomain: ").append(failureDomain);
        yaml.append("\n        address: ").append(address).append('\n');
    }

    /** Adds the calls of the plain service, if it has servers; must follow the last server. */
    void addServiceCalls() {
        if (hasServices) {
            yaml.append("    calls:\n")
                    .append("      - method: POST\n        path: /certificates\n        repeatable: false\n")
                    .append("      - method: GET\n        path: /passports\n        repeatable: true\n");
        }
    }

    /** Adds an engine. */
    void addEngine(String name, String failureDomain, String address) {
        if (!hasEngines) {
            hasEngines = true;
            yaml.append("engines:\n");
        }
        yaml.append("  ").append(name).append(":\n    failureDomain: ").append(failureDomain);
        yaml.append("\n    address: ").append(address);
        yaml.append("\n    checksFencing: true\n    initialRole: BOTH");
        yaml.append("\n    prefillTokensPerSecond: ").append(shape.prefillTokensPerSecond());
        yaml.append("\n    decodeStepMillis: ").append(shape.decodeStepMillis());
        yaml.append("\n    decodeStepMillisPerStream: ").append(STEP_MILLIS_PER_STREAM);
        yaml.append("\n    maxStreams: ").append(MAX_STREAMS);
        yaml.append("\n    kvTokens: ").append(KV_TOKENS).append('\n');
    }

    /** Returns the text of the file. */
    String text() {
        return yaml.toString();
    }
}
