package org.verbenatray.processes;

import java.util.List;

/** A configuration of a small fleet for tests. */
public final class TestFleet {
    private TestFleet() {}

    /** Returns a configuration file with the given engine addresses and one service server at the given address. */
    public static String yaml(List<String> engines, String service) {
        StringBuilder yaml = new StringBuilder();
        yaml.append("models:\n  quick-check:\n    version: \"1\"\n    priority: 80\n");
        yaml.append("customers:\n  contractor:\n    keySha256: ")
                .append(HttpCaller.KEY_SHA256)
                .append("\n    requestsPerSecond: 10000\n    tokensPerSecond: 1000000\n    maxOpen: 1000\n");
        yaml.append("services:\n  registry:\n    servers:\n      registry-1:\n        failureDomain: north\n")
                .append("        address: ")
                .append(service)
                .append("\n    calls:\n      - method: POST\n        path: /certificates\n        repeatable: false\n")
                .append("      - method: GET\n        path: /passports\n        repeatable: true\n");
        yaml.append("engines:\n");
        for (int i = 0; i < engines.size(); i++) {
            yaml.append("  engine-")
                    .append(i + 1)
                    .append(":\n    failureDomain: north\n    address: ")
                    .append(engines.get(i))
                    .append("\n    checksFencing: true\n    initialRole: BOTH\n    prefillTokensPerSecond: 20000\n")
                    .append("    decodeStepMillis: 10\n    decodeStepMillisPerStream: 0.2\n    maxStreams: 64\n")
                    .append("    kvTokens: 1000000\n");
        }
        return yaml.toString();
    }
}
