package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.verbenatray.faults.FaultPlan;
import org.verbenatray.faults.FaultReport;
import org.verbenatray.faults.FaultRun;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.settings.SettingsCheck;

/** Runs seeded combinations of faults against instances in this process and prints one JSON report per seed. */
@Parameters(commandDescription = "Runs seeded combinations of faults and checks that every guarantee holds.")
final class BenchFaultsCommand implements Command {
    private static final long MILLIS_PER_SECOND = 1_000;

    @Parameter(names = "--first-seed", description = "First seed")
    private String firstSeed = "1";

    @Parameter(names = "--seeds", description = "Number of seeds")
    private String seeds = "10";

    @Parameter(names = "--seconds", description = "Duration of the run of one seed in seconds")
    private String seconds = "10";

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        long first = check.number("--first-seed", firstSeed, 0, Long.MAX_VALUE / 2);
        long count = check.number("--seeds", seeds, 1, 1_000_000);
        long length = check.number("--seconds", seconds, 2, 3_600);
        check.throwIfInvalid();
        List<Long> failed = new ArrayList<>();
        long calls = 0;
        for (long seed = first; seed < first + count; seed++) {
            FaultReport report = FaultRun.create(FaultPlan.fromSeed(seed, length * MILLIS_PER_SECOND))
                    .run();
            output.out().println(RecordCodec.encode(report));
            calls += report.calls();
            if (!report.passed()) {
                failed.add(seed);
                output.out()
                        .println(
                                "reproduce with: bench faults --first-seed " + seed + " --seeds 1 --seconds " + length);
            }
        }
        output.out().println(RecordCodec.encode(new Summary(first, count, length, calls, failed)));
        return failed.isEmpty() ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }

    /**
     * The summary of all runs, printed as JSON.
     *
     * @param firstSeed the first seed
     * @param seeds the number of seeds
     * @param seconds the duration of each run in seconds
     * @param calls the number of calls in all runs
     * @param failedSeeds the seeds whose runs broke an invariant
     */
    private record Summary(long firstSeed, long seeds, long seconds, long calls, List<Long> failedSeeds) {}
}
