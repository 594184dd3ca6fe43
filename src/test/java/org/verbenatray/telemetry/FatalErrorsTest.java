package org.verbenatray.telemetry;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Errors that libraries catch and only log: the process went on without its threads and answered nothing. */
public final class FatalErrorsTest {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    private final List<Integer> halts = new ArrayList<>();

    private final FatalErrors errors = FatalErrors.of(new PrintStream(bytes, true, StandardCharsets.UTF_8), halts::add);

    @Test
    public void anErrorThatIsOnlyLoggedEndsTheProcess() {
        publish(new OutOfMemoryError("Java heap space"));
        Assert.assertEquals(halts, List.of(FatalErrors.EXIT_STATUS));
        Assert.assertTrue(bytes.toString(StandardCharsets.UTF_8).contains("event=process_ended_by_error"));
    }

    @Test
    public void anExceptionThatIsLoggedDoesNotEndTheProcess() {
        publish(new IllegalStateException("one request"));
        publish(null);
        Assert.assertEquals(halts, List.of());
    }

    private void publish(Throwable thrown) {
        halts.clear();
        LogRecord entry = new LogRecord(Level.SEVERE, "a listener threw");
        entry.setThrown(thrown);
        PrintStream ignored = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
        AsyncLogHandler.start(ignored, new SimpleFormatter(), errors).publish(entry);
    }
}
