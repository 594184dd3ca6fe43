package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.verbenatray.instance.EntryInstance;
import org.verbenatray.settings.EntrySettings;
import org.verbenatray.settings.SettingsCheck;

/** Runs an entry instance until the process is stopped, then drains it. */
@Parameters(commandDescription = "Runs an entry instance until it is stopped by SIGTERM, then drains it.")
final class EntryCommand implements Command {
    @Parameter(names = "--name", description = "Name of the instance, unique in the deployment")
    private String name;

    @Parameter(names = "--failure-domain", description = "Failure domain the instance runs in")
    private String failureDomain;

    @Parameter(names = "--platform", description = "Base URI of the platform, such as http://10.0.0.2:7000")
    private String platform;

    @Parameter(names = "--listen", description = "IP address and port for callers; port 0 lets the system choose")
    private String listen = "127.0.0.1:8080";

    @Parameter(names = "--operators", description = "IP address and port for health checks, metrics and state")
    private String operators = "127.0.0.1:8081";

    @Parameter(names = "--peers", description = "IP address and port for other instances")
    private String peers = "127.0.0.1:8082";

    @Parameter(
            names = "--known-peers",
            description = "Addresses of peers, separated by commas, used until the instance list has been read")
    private List<String> knownPeers = new ArrayList<>();

    @Parameter(names = "--io-threads", description = "Number of I/O threads, 1 to 64")
    private String ioThreads = "2";

    @Parameter(names = "--max-body-bytes", description = "Maximum size of a request body in bytes")
    private String maxBodyBytes = "16777216";

    @Parameter(names = "--max-open-requests", description = "Maximum number of requests without a final response")
    private String maxOpenRequests = "4096";

    @Parameter(names = "--default-timeout-millis", description = "Timeout of a request whose caller sets none")
    private String defaultTimeoutMillis = "600000";

    @Parameter(
            names = "--silence-millis",
            description = "Time without a token after which the engine is asked for its state")
    private String silenceMillis = "2000";

    @Parameter(names = "--lease-term-millis", description = "Duration of a lease term in milliseconds")
    private String leaseTermMillis = "10000";

    @Override
    public int run(CommandOutput output) throws Exception {
        EntryInstance instance = EntryInstance.start(settings());
        output.out().println("callers=" + instance.callersAddress() + " operators=" + instance.operatorsAddress());
        return ProcessShutdown.awaitThenRun(instance::drainAndClose);
    }

    /** Returns the validated settings; fails with a SettingsException if any is invalid. */
    private EntrySettings settings() {
        SettingsCheck check = SettingsCheck.create();
        EntrySettings settings = new EntrySettings(
                check.name("--name", name),
                check.name("--failure-domain", failureDomain),
                check.uri("--platform", platform),
                check.address("--listen", listen),
                check.address("--operators", operators),
                check.address("--peers", peers),
                knownPeers.stream()
                        .map(address -> check.address("--known-peers", address))
                        .toList(),
                (int) check.number("--io-threads", ioThreads, 1, 64),
                check.number("--max-body-bytes", maxBodyBytes, 1_024, 1L << 30),
                (int) check.number("--max-open-requests", maxOpenRequests, 1, 1_000_000),
                check.number("--default-timeout-millis", defaultTimeoutMillis, 1, 86_400_000),
                check.number("--silence-millis", silenceMillis, 50, 600_000),
                check.number("--lease-term-millis", leaseTermMillis, 200, 600_000));
        check.throwIfInvalid();
        return settings;
    }
}
