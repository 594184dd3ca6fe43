package org.verbenatray.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.verbenatray.settings.EnvironmentDefaults;
import org.verbenatray.settings.SettingsException;

/**
 * Parses the arguments of the binary, runs the command and returns its exit code. Errors are printed as one line that
 * names the remedy, without a stack trace.
 */
public final class CommandLine {
    private static final String PROGRAM = "verbenatray";

    /** The commands by name, in the order of the help; a name has one or two words. */
    private final Map<String, Supplier<Command>> commands;

    private final Map<String, String> environment;

    private CommandLine(Map<String, Supplier<Command>> commands, Map<String, String> environment) {
        this.commands = commands;
        this.environment = environment;
    }

    /** Returns a command line with the given commands and the environment for default values of flags. */
    public static CommandLine create(Map<String, Supplier<Command>> commands, Map<String, String> environment) {
        return new CommandLine(commands, environment);
    }

    /** Runs the command given by the arguments and returns its exit code. */
    public int run(String[] arguments, CommandOutput output) {
        if (arguments.length == 1 && arguments[0].equals("--version")) {
            output.out().println(PROGRAM + " " + version());
            return ExitCode.SUCCESS;
        }
        if (arguments.length == 0 || arguments[0].equals("--help")) {
            printUsage(output);
            return arguments.length == 0 ? ExitCode.USAGE_ERROR : ExitCode.SUCCESS;
        }
        int nameLength = commandNameLength(arguments);
        if (nameLength == 0 && isGroup(arguments[0]) && arguments.length == 2 && arguments[1].equals("--help")) {
            printGroupUsage(arguments[0], output);
            return ExitCode.SUCCESS;
        }
        if (nameLength == 0) {
            output.err().println("unknown command " + arguments[0] + "; see " + PROGRAM + " --help");
            return ExitCode.USAGE_ERROR;
        }
        String name = String.join(" ", Arrays.copyOf(arguments, nameLength));
        return run(name, Arrays.copyOfRange(arguments, nameLength, arguments.length), output);
    }

    private int run(String name, String[] flags, CommandOutput output) {
        Command command = commands.get(name).get();
        Help help = new Help();
        JCommander parser = JCommander.newBuilder()
                .programName(PROGRAM + " " + name)
                .addObject(command)
                .addObject(help)
                .defaultProvider(EnvironmentDefaults.of(environment))
                .build();
        try {
            parser.parse(flags);
            rejectUnknownFlags(parser, flags);
            if (help.requested) {
                StringBuilder text = new StringBuilder();
                parser.getUsageFormatter().usage(text);
                output.out().print(text);
                return ExitCode.SUCCESS;
            }
            return command.run(output);
        } catch (ParameterException e) {
            output.err().println(e.getMessage() + "; see " + PROGRAM + " " + name + " --help");
            return ExitCode.USAGE_ERROR;
        } catch (SettingsException e) {
            output.err().println(e.getMessage());
            return ExitCode.USAGE_ERROR;
        } catch (Exception e) {
            output.err().println(name + " failed: " + rootCauseMessage(e));
            return ExitCode.FAILURE;
        }
    }

    /** Fails with a {@link ParameterException} if the command has no such flag. */
    private static void rejectUnknownFlags(JCommander parser, String[] flags) {
        Set<String> known = parser.getParameters().stream()
                .flatMap(parameter -> Arrays.stream(parameter.getParameter().names()))
                .collect(Collectors.toSet());
        for (String flag : flags) {
            if (flag.startsWith("--") && !known.contains(flag.split("=", 2)[0])) {
                throw new ParameterException("unknown flag " + flag);
            }
        }
    }

    /** Returns the number of leading arguments that form a command name, zero if there is no such command. */
    private int commandNameLength(String[] arguments) {
        if (arguments.length > 1 && commands.containsKey(arguments[0] + " " + arguments[1])) {
            return 2;
        }
        return commands.containsKey(arguments[0]) ? 1 : 0;
    }

    /** Returns whether a word is the first of a two-word command name. */
    private boolean isGroup(String word) {
        return commands.keySet().stream().anyMatch(name -> name.startsWith(word + " "));
    }

    /** Prints the commands of a group. */
    private void printGroupUsage(String group, CommandOutput output) {
        output.out().println("usage: " + PROGRAM + " " + group + " COMMAND [FLAGS], with the commands:");
        commands.keySet().stream()
                .filter(name -> name.startsWith(group + " "))
                .forEach(name -> output.out().println("  " + name.substring(group.length() + 1)));
    }

    /** Prints all commands. */
    private void printUsage(CommandOutput output) {
        output.out().println("usage: " + PROGRAM + " COMMAND [FLAGS], with the commands:");
        commands.keySet().forEach(name -> output.out().println("  " + name));
        output.out().println("Every command describes its flags with --help; a flag --some-flag can also be set by");
        output.out().println("the environment variable VERBENATRAY_SOME_FLAG.");
    }

    /** Returns the message of the root cause, or its text if it has no message. */
    static String rootCauseMessage(Throwable failure) {
        Throwable root = failure;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root.getMessage() == null ? root.toString() : root.getMessage();
    }

    /** Returns the version from the manifest, or "development" if the classes do not come from a packaged binary. */
    private static String version() {
        String version = CommandLine.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }

    /** The flag common to all commands. */
    private static final class Help {
        /** Whether help was requested. */
        @Parameter(names = "--help", help = true, description = "Prints the flags of this command.")
        private boolean requested;
    }
}
