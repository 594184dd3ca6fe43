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

/** One process of the binary, started from the classes under test. */
final class BinaryProcess implements AutoCloseable {
    /** The longest time that a process may take to end in seconds. */
    private static final long END_SECONDS = 30;

    /** The process. */
    private final Process process;

    /** The first line that it wrote. */
    private final String firstLine;

    private BinaryProcess(Process process, String firstLine) {
        this.process = process;
        this.firstLine = firstLine;
    }

    /** Starts a command and waits for its first line. */
    static BinaryProcess start(String... arguments) throws IOException {
        Process process = new ProcessBuilder(command(arguments))
                .redirectError(new File("target", "process-" + arguments[0] + "-" + System.nanoTime() + ".log"))
                .start();
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String line = lines.readLine();
        if (line == null) {
            throw new IOException(String.join(" ", arguments) + " wrote nothing");
        }
        return new BinaryProcess(process, line);
    }

    /** Runs a command to its end and returns its exit code. */
    static int run(String... arguments) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(command(arguments)).inheritIO().start();
        return process.waitFor();
    }

    /** Returns the value of a key in the first line. */
    String value(String key) {
        for (String pair : firstLine.split(" ")) {
            if (pair.startsWith(key + "=")) {
                return pair.substring(key.length() + 1);
            }
        }
        throw new IllegalStateException("no " + key + " in " + firstLine);
    }

    /** Tells the process to stop. */
    void terminate() {
        process.destroy();
    }

    /** Sends a signal to the process. */
    void signal(String name) throws IOException, InterruptedException {
        int code = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (code != 0) {
            throw new IOException("kill -" + name + " ended with " + code);
        }
    }

    /** Kills the process. */
    void kill() {
        process.destroyForcibly();
    }

    /** Returns whether the process ended in time. */
    boolean ended() throws InterruptedException {
        return process.waitFor(END_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    private static List<String> command(String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(new File(System.getProperty("java.home"), "bin/java").getPath());
        command.add("-Xmx128m");
        command.add("-XX:TieredStopAtLevel=1");
        command.add("-cp");
        command.add(System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
        command.add("org.verbenatray.cli.Main");
        command.addAll(List.of(arguments));
        return command;
    }

    /** Closes everything in the reverse order. */
    static void closeAll(List<BinaryProcess> processes) {
        for (int i = processes.size() - 1; i >= 0; i--) {
            try (BinaryProcess process = processes.get(i)) {
                process.kill();
            } catch (UncheckedIOException e) {
                throw new IllegalStateException("cannot close", e);
            }
        }
    }
}
