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

/** Parses the arguments of the binary, runs the command that they name and returns its exit code. */
public final class CommandLine {
    /** The name of the binary. */
    private static final String PROGRAM = "verbenatray";

    /** The commands by name, in the order of the help. */
    private final Map<String, Supplier<Command>> commands;

    /** The environment. */
    private final Map<String, String> environment;

    /** Creates a command line. */
    private CommandLine(Map<String, Supplier<Command>> commands, Map<String, String> environment) {
        this.commands = commands;
        this.environment = environment;
    }

    /** Returns a command line with the given commands. */
    public static CommandLine create(Map<String, Supplier<Command>> commands, Map<String, String> environment) {
        return new CommandLine(commands, environment);
    }

    /** Runs the command that the arguments name. */
    public int run(String[] arguments, CommandOutput output) {
        if (arguments.length == 1 && arguments[0].equals("--version")) {
            output.out().println(PROGRAM + " " + version());
            return ExitCode.DONE;
        }
        if (arguments.length == 0 || arguments[0].equals("--help")) {
            usage(output);
            return arguments.length == 0 ? ExitCode.WRONG_USE : ExitCode.DONE;
        }
        int words = commandWords(arguments);
        if (words == 0 && isGroup(arguments[0]) && arguments.length == 2 && arguments[1].equals("--help")) {
            usageOf(arguments[0], output);
            return ExitCode.DONE;
        }
        if (words == 0) {
            output.err().println("unknown command " + arguments[0] + "; see " + PROGRAM + " --help");
            return ExitCode.WRONG_USE;
        }
        String name = String.join(" ", Arrays.copyOf(arguments, words));
        return run(name, Arrays.copyOfRange(arguments, words, arguments.length), output);
    }

    /** Runs one command. */
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
            refuseUnknown(parser, flags);
            if (help.requested) {
                StringBuilder text = new StringBuilder();
                parser.getUsageFormatter().usage(text);
                output.out().print(text);
                return ExitCode.DONE;
            }
            return command.run(output);
        } catch (ParameterException e) {
            output.err().println(e.getMessage() + "; see " + PROGRAM + " " + name + " --help");
            return ExitCode.WRONG_USE;
        } catch (SettingsException e) {
            output.err().println(e.getMessage());
            return ExitCode.WRONG_USE;
        } catch (Exception e) {
            output.err().println(name + " failed: " + rootOf(e));
            return ExitCode.FAILED;
        }
    }

    /** Fails with a {@link ParameterException} at a flag that the command does not have. */
    private static void refuseUnknown(JCommander parser, String[] flags) {
        Set<String> known = parser.getParameters().stream()
                .flatMap(parameter -> Arrays.stream(parameter.getParameter().names()))
                .collect(Collectors.toSet());
        for (String flag : flags) {
            if (flag.startsWith("--") && !known.contains(flag.split("=", 2)[0])) {
                throw new ParameterException("unknown flag " + flag);
            }
        }
    }

    /** Returns how many words of the arguments name a command, zero for none. */
    private int commandWords(String[] arguments) {
        if (arguments.length > 1 && commands.containsKey(arguments[0] + " " + arguments[1])) {
            return 2;
        }
        return commands.containsKey(arguments[0]) ? 1 : 0;
    }

    /** Returns whether a word begins the names of several commands. */
    private boolean isGroup(String word) {
        return commands.keySet().stream().anyMatch(name -> name.startsWith(word + " "));
    }

    /** Lists the commands whose names begin with a word. */
    private void usageOf(String group, CommandOutput output) {
        output.out().println("usage: " + PROGRAM + " " + group + " PART [FLAGS], with the parts:");
        commands.keySet().stream()
                .filter(name -> name.startsWith(group + " "))
                .forEach(name -> output.out().println("  " + name.substring(group.length() + 1)));
    }

    /** Lists the commands. */
    private void usage(CommandOutput output) {
        output.out().println("usage: " + PROGRAM + " COMMAND [FLAGS], with the commands:");
        commands.keySet().forEach(name -> output.out().println("  " + name));
        output.out().println("Every command explains its flags with --help; a flag --some-flag can also be given as");
        output.out().println("the environment variable VERBENATRAY_SOME_FLAG.");
    }

    /** Returns the message of the innermost cause. */
    static String rootOf(Throwable failure) {
        Throwable root = failure;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root.getMessage() == null ? root.toString() : root.getMessage();
    }

    /** Returns the version of the binary. */
    private static String version() {
        String version = CommandLine.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }

    /** The flag that every command has. */
    private static final class Help {
        /** Whether help was asked for. */
        @Parameter(names = "--help", help = true, description = "Explains the flags of this command.")
        private boolean requested;
    }
}
