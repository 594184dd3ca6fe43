package org.verbenatray.relay;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.catalog.CurrentCatalog;
import org.verbenatray.continuation.StreamContinuations;
import org.verbenatray.limits.ServerLimits;
import org.verbenatray.openwork.SpeedSample;
import org.verbenatray.pace.ServerPace;
import org.verbenatray.placement.EnginePlanner;
import org.verbenatray.placement.LeastLoadedChooser;
import org.verbenatray.resilience.CrashLedger;
import org.verbenatray.resilience.RetryBudget;
import org.verbenatray.resilience.ServerRuns;
import org.verbenatray.scheduling.FirstAttemptEstimator;
import org.verbenatray.scheduling.PromptPlacement;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;
import org.xnio.XnioIoThread;

/**
 * The collaborators shared by all calls of a relay; all are used on the one I/O thread.
 *
 * @param transport the HTTP client for backend servers
 * @param thread the I/O thread
 * @param ticker the clock
 * @param dialect the translation of headers and bodies
 * @param catalog the routes in use
 * @param directory the backend servers
 * @param chooser chooses servers of plain services
 * @param planner chooses engines
 * @param retryBudgets the retry budget of each service, by service name
 * @param crashLedger the requests that crash servers
 * @param serverRuns attributes ended servers to requests
 * @param stop the planned stop of the instance
 * @param openCalls the calls that have not ended
 * @param closingConnections whether callers should close their connections, as another instance serves them better
 * @param metrics the metrics
 * @param onWorkChanged receives each server whose open work from this instance has changed
 * @param firstAttempts estimates how long ago callers sent their first attempts
 * @param placement decides where and in which order prompts are processed
 * @param crashProbe detects crashed servers
 * @param connectProbe finds out when servers that could not be connected to are reachable again
 * @param continuations knows the software versions at which streams may be continued
 * @param limits the limits that servers state
 * @param statements records what servers state in their answers
 * @param reach receives what shows whether this instance reaches the servers
 * @param begunRequests receives each request that a server has begun to run for a customer
 * @param speedSamples receives how fast engines have generated output
 * @param pace admits requests to servers that have started or recovered
 * @param forwardingTargets the instances to which requests are forwarded while servers are out of reach
 */
public record RelayContext(
        HttpTransport transport,
        XnioIoThread thread,
        Ticker ticker,
        RelayDialect dialect,
        CurrentCatalog catalog,
        BackendDirectory directory,
        LeastLoadedChooser chooser,
        EnginePlanner planner,
        Function<String, RetryBudget> retryBudgets,
        CrashLedger crashLedger,
        ServerRuns serverRuns,
        PlannedStop stop,
        OpenCalls openCalls,
        BooleanSupplier closingConnections,
        RelayMetrics metrics,
        Consumer<Backend> onWorkChanged,
        FirstAttemptEstimator firstAttempts,
        PromptPlacement placement,
        CrashProbe crashProbe,
        ConnectProbe connectProbe,
        StreamContinuations continuations,
        ServerLimits limits,
        ServerStatements statements,
        ReachListener reach,
        BegunRequests begunRequests,
        Consumer<SpeedSample> speedSamples,
        ServerPace pace,
        ForwardingTargets forwardingTargets) {
    /** Returns a scheduler that runs its tasks on the I/O thread. */
    Scheduler scheduler() {
        return (when, task) ->
                thread.executeAfter(task, when.remainingMillis(ticker.nanos()) + 1, TimeUnit.MILLISECONDS);
    }
}
