package org.verbenatray.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.time.ManualTime;

/** A watched file. */
public final class FileWatchTest {
    @Test
    public void aChangedTextIsToldOnceAndAFileThatIsGoneChangesNothing() throws IOException {
        ManualTime time = new ManualTime();
        Path file = Files.createTempFile("settings", ".conf");
        Files.writeString(file, "a=1");
        List<String> told = new ArrayList<>();
        FileWatch watch = FileWatch.start(file, "a=1", told::add, time, time);
        time.advanceMillis(10_000);
        Assert.assertEquals(told, List.of());
        Files.writeString(file, "a=2");
        time.advanceMillis(10_000);
        Assert.assertEquals(told, List.of("a=2"));
        Files.delete(file);
        time.advanceMillis(10_000);
        watch.look();
        Assert.assertEquals(told, List.of("a=2"));
    }

    @Test
    public void aSignalNeedNotWaitForTheNextLook() throws IOException {
        ManualTime time = new ManualTime();
        Path file = Files.createTempFile("settings", ".conf");
        List<String> told = new ArrayList<>();
        FileWatch watch = FileWatch.start(file, "", told::add, time, time);
        Files.writeString(file, "a=2");
        watch.look();
        Files.delete(file);
        Assert.assertEquals(told, List.of("a=2"));
    }
}
