package org.verbenatray.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.logging.Level;
import org.verbenatray.bench.MixCommand;
import org.verbenatray.bench.PlotCommand;
import org.verbenatray.telemetry.KeyValueFormatter;
import org.verbenatray.telemetry.NonResettingLogManager;

/** The entry point of the binary. */
public final class Main {
    private Main() {}

    /** Runs the command given by the arguments and exits with its code. */
    public static void main(String[] arguments) {
        System.setProperty(NonResettingLogManager.PROPERTY, NonResettingLogManager.class.getName());
        KeyValueFormatter.install(Level.INFO);
        int code = CommandLine.create(commands(), System.getenv()).run(arguments, CommandOutput.ofProcess());
        System.out.flush();
        System.exit(code);
    }

    /** Returns the commands by name, in the order of the help. */
    static Map<String, Supplier<Command>> commands() {
        Map<String, Supplier<Command>> commands = new LinkedHashMap<>();
        commands.put("entry", EntryCommand::new);
        commands.put("relay", RelayCommand::new);
        commands.put("check", CheckCommand::new);
        commands.put("publish", PublishCommand::new);
        commands.put("history", HistoryCommand::new);
        commands.put("explain", ExplainCommand::new);
        commands.put("destination", DestinationCommand::new);
        commands.put("dump", DumpCommand::new);
        commands.put("demo", DemoCommand::new);
        commands.put("load", LoadCommand::new);
        commands.put("bench mix", () -> MixCommand.create(System.out));
        commands.put("bench plot", () -> PlotCommand.create(System.out));
        commands.put("bench overhead", BenchOverheadCommand::new);
        commands.put("bench once", BenchOnceCommand::new);
        commands.put("bench configuration", BenchConfigurationCommand::new);
        commands.put("bench control", BenchControlCommand::new);
        commands.put("bench faults", BenchFaultsCommand::new);
        commands.put("standin platform", StandinPlatformCommand::new);
        commands.put("standin engine", StandinEngineCommand::new);
        commands.put("standin service", StandinServiceCommand::new);
        return commands;
    }
}
