package org.verbenatray.processes;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the binary or of a stand-in, started from the classes under test. */
public final class BinaryProcess implements AutoCloseable {
    private static final String BINARY = "org.verbenatray.cli.Main";

    /** Marks the lines of a library, which may come first. */
    private static final String LIBRARY_LINE = "event=library_message";

    /** The timeout for the end of a process in seconds. */
    private static final long EXIT_TIMEOUT_SECONDS = 30;

    private final Process process;

    private final String firstLine;

    private BinaryProcess(Process process, String firstLine) {
        this.process = process;
        this.firstLine = firstLine;
    }

    /** Starts a command and waits for the first line of its output. */
    public static BinaryProcess start(String... arguments) throws IOException {
        return launch(arguments[0], command(BINARY, arguments));
    }

    /** Starts a stand-in by its main class and waits for the first line of its output. */
    public static BinaryProcess startStandIn(Class<?> mainClass) throws IOException {
        return launch(mainClass.getSimpleName(), command(mainClass.getName()));
    }

    /** Runs a command to its end and returns its exit code. */
    static int run(String... arguments) throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder(command(BINARY, arguments)).inheritIO().start();
        return process.waitFor();
    }

    /** Returns the value of a key=value pair in the first line of the output. */
    public String value(String key) {
        for (String pair : firstLine.split(" ")) {
            if (pair.startsWith(key + "=")) {
                return pair.substring(key.length() + 1);
            }
        }
        throw new IllegalStateException("no " + key + " in " + firstLine);
    }

    /** Stops the process with SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Sends the process a signal, such as STOP. */
    void signal(String name) throws IOException, InterruptedException {
        int code = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (code != 0) {
            throw new IOException("kill -" + name + " ended with " + code);
        }
    }

    /** Kills the process with SIGKILL. */
    void kill() {
        process.destroyForcibly();
    }

    /** Returns whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Waits for the end of the process and returns whether it ended within the timeout. */
    boolean waitForExit() throws InterruptedException {
        return process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    private static BinaryProcess launch(String name, List<String> command) throws IOException {
        Process process = new ProcessBuilder(command)
                .redirectError(new File("target", "process-" + name + "-" + System.nanoTime() + ".log"))
                .start();
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String line = lines.readLine();
        while (line != null && line.contains(LIBRARY_LINE)) {
            line = lines.readLine();
        }
        if (line == null) {
            throw new IOException(name + " ended without output");
        }
        return new BinaryProcess(process, line);
    }

    private static List<String> command(String mainClass, String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(new File(System.getProperty("java.home"), "bin/java").getPath());
        command.add("-Xmx128m");
        command.add("-XX:TieredStopAtLevel=1");
        command.add("-cp");
        command.add(System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
        command.add(mainClass);
        command.addAll(List.of(arguments));
        return command;
    }

    /** Kills all processes in the reverse order of their start. */
    public static void closeAll(List<BinaryProcess> processes) {
        for (int i = processes.size() - 1; i >= 0; i--) {
            try (BinaryProcess process = processes.get(i)) {
                process.kill();
            } catch (UncheckedIOException e) {
                throw new IllegalStateException("cannot close", e);
            }
        }
    }
}
