package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.verbenatray.instance.EntryInstance;
import org.verbenatray.settings.EntrySettings;
import org.verbenatray.settings.SettingsCheck;

/** Runs an entry instance until the process is told to stop. */
@Parameters(commandDescription = "Runs an entry instance until it is told to stop (SIGTERM), then drains it.")
final class EntryCommand implements Command {
    /** The name. */
    @Parameter(names = "--name", description = "Name of the instance, unique in the deployment")
    private String name;

    /** The failure domain. */
    @Parameter(names = "--failure-domain", description = "Failure domain the instance runs in")
    private String failureDomain;

    /** The platform. */
    @Parameter(names = "--platform", description = "Base URI of the platform, such as http://10.0.0.2:7000")
    private String platform;

    /** The address for callers. */
    @Parameter(names = "--listen", description = "IP number and port for callers; port 0 lets the system choose")
    private String listen = "127.0.0.1:8080";

    /** The address for operators. */
    @Parameter(names = "--operators", description = "IP number and port for health, metrics and state")
    private String operators = "127.0.0.1:8081";

    /** The address for peers. */
    @Parameter(names = "--peers", description = "IP number and port for other instances")
    private String peers = "127.0.0.1:8082";

    /** The known peers. */
    @Parameter(
            names = "--known-peers",
            description = "Addresses of peers, separated by commas, used until the instance list was read")
    private List<String> knownPeers = new ArrayList<>();

    /** The threads. */
    @Parameter(names = "--io-threads", description = "Threads that move bytes, 1 to 64")
    private String ioThreads = "2";

    /** The bound on bodies. */
    @Parameter(names = "--max-body-bytes", description = "Largest body of a request in bytes")
    private String maxBodyBytes = "16777216";

    /** The bound on open requests. */
    @Parameter(names = "--max-open-requests", description = "Largest number of requests without a final answer")
    private String maxOpenRequests = "4096";

    /** The default timeout. */
    @Parameter(names = "--default-timeout-millis", description = "Time of a request whose caller states none")
    private String defaultTimeoutMillis = "600000";

    /** The bound on silence. */
    @Parameter(names = "--silence-millis", description = "Time without a token after which an engine is asked")
    private String silenceMillis = "2000";

    /** The term of leases. */
    @Parameter(names = "--lease-term-millis", description = "Term of a lease in milliseconds")
    private String leaseTermMillis = "10000";

    @Override
    public int run(CommandOutput output) throws Exception {
        EntryInstance instance = EntryInstance.start(settings());
        output.out().println("callers=" + instance.callersAddress() + " operators=" + instance.operatorsAddress());
        return Processes.untilStopped(instance::drainAndClose);
    }

    /** Returns the checked settings. */
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
        check.finish();
        return settings;
    }
}
