package org.verbenatray.telemetry;

import java.io.PrintStream;
import java.util.function.IntConsumer;

/**
 * Ends the process after an error that leaves its state unknown, such as a lack of memory, so that its supervisor
 * starts it again. A process that goes on without one of its threads holds its ports and answers nothing.
 */
public final class FatalErrors {
    /** The exit status of a process that ended after an error. */
    public static final int EXIT_STATUS = 70;

    private final PrintStream out;

    /** Ends the process with a status at once, without shutdown hooks. */
    private final IntConsumer halt;

    private FatalErrors(PrintStream out, IntConsumer halt) {
        this.out = out;
        this.halt = halt;
    }

    /** Returns an object that ends this process. */
    public static FatalErrors ofProcess() {
        return new FatalErrors(System.out, Runtime.getRuntime()::halt);
    }

    /** Returns an object that writes to a stream and ends the process by the given function. */
    static FatalErrors of(PrintStream out, IntConsumer halt) {
        return new FatalErrors(out, halt);
    }

    /** Ends the process whenever a thread ends by an exception or an error that nothing has handled. */
    public void endOnUncaught() {
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> end("thread " + thread.getName(), failure));
    }

    /** Ends the process if a failure that was only logged is an error. */
    void endIfError(Throwable failure) {
        if (failure instanceof Error) {
            end("logged", failure);
        }
    }

    /** Writes a line, if that is possible, and ends the process. */
    public void end(String where, Throwable failure) {
        try {
            out.println(
                    Event.named("process_ended_by_error").with("where", where).with("why", failure));
            out.flush();
        } finally {
            halt.accept(EXIT_STATUS);
        }
    }
}
