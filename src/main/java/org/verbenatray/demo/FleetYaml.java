package org.verbenatray.demo;

import org.verbenatray.demo.EmbeddedDeployment.Shape;

/** Writes the configuration file of an embedded deployment. */
final class FleetYaml {
    /** The additional time of a decode step per further stream in milliseconds. */
    static final double STEP_MILLIS_PER_STREAM = 0.05;

    /** The largest batch of an engine. */
    static final int MAX_STREAMS = 64;

    /** The capacity of an engine's KV cache in tokens. */
    static final long KV_TOKENS = 1_000_000;

    /** The shape of the deployment. */
    private final Shape shape;

    /** The text so far. */
    private final StringBuilder text = new StringBuilder();

    /** Whether the section of the service was begun. */
    private boolean inService;

    /** Whether the section of the engines was begun. */
    private boolean inEngines;

    /** Creates a writer. */
    private FleetYaml(Shape shape) {
        this.shape = shape;
    }

    /** Returns a writer that wrote nothing. */
    static FleetYaml empty(Shape shape) {
        return new FleetYaml(shape);
    }

    /** Returns a writer that wrote the models. */
    static FleetYaml create(Shape shape) {
        FleetYaml yaml = new FleetYaml(shape);
        yaml.text
                .append("models:\n")
                .append("  gate-check:\n    version: \"1\"\n    priority: 80\n")
                .append("  trade-review:\n    version: \"1\"\n    priority: 20\n");
        return yaml;
    }

    /** Writes a customer. */
    void customer(String name, String keySha256) {
        text.append("customers:\n  ")
                .append(name)
                .append(":\n    keySha256: ")
                .append(keySha256)
                .append("\n    requestsPerSecond: 100000\n    tokensPerSecond: 100000000\n    maxOpen: 10000\n")
                .append("    priority: 0\n");
    }

    /** Writes a server of the plain service. */
    void service(String name, String failureDomain, String address) {
        if (!inService) {
            inService = true;
            text.append("services:\n  registry:\n    servers:\n");
        }
        text.append("      ").append(name).append(":\n        failureDomain: ").append(failureDomain);
        text.append("\n        address: ").append(address).append('\n');
    }

    /** Writes the calls of the plain service. */
    void calls() {
        if (inService) {
            text.append("    calls:\n")
                    .append("      - method: POST\n        path: /certificates\n        repeatable: false\n")
                    .append("      - method: GET\n        path: /passports\n        repeatable: true\n");
        }
    }

    /** Writes an engine. */
    void engine(String name, String failureDomain, String address) {
        if (!inEngines) {
            inEngines = true;
            text.append("engines:\n");
        }
        text.append("  ").append(name).append(":\n    failureDomain: ").append(failureDomain);
        text.append("\n    address: ").append(address);
        text.append("\n    checksFencing: true\n    initialRole: BOTH");
        text.append("\n    prefillTokensPerSecond: ").append(shape.prefillTokensPerSecond());
        text.append("\n    decodeStepMillis: ").append(shape.decodeStepMillis());
        text.append("\n    decodeStepMillisPerStream: ").append(STEP_MILLIS_PER_STREAM);
        text.append("\n    maxStreams: ").append(MAX_STREAMS);
        text.append("\n    kvTokens: ").append(KV_TOKENS).append('\n');
    }

    /** Returns the file. */
    String text() {
        return text.toString();
    }
}
