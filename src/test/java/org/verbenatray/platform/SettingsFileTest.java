package org.verbenatray.platform;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.settings.SettingsException;

/** The settings file of a machine. */
public final class SettingsFileTest {
    @Test
    public void unknownKeysAreIgnored() {
        MachineSettings settings =
                SettingsFile.parse(MachineFixture.settings("127.0.0.1:9")).settings();
        Assert.assertEquals(settings.name(), "m1");
        Assert.assertEquals(settings.graceMillis(), 8_000);
        Assert.assertEquals(settings.storeUri().toString(), "http://127.0.0.1:9");
    }

    @Test
    public void everythingThatIsWrongIsToldAtOnceWithItsRemedy() {
        String text = MachineFixture.settings("127.0.0.1:9")
                .replace("zone=z1", "")
                .replace("bounds.graceS=8", "bounds.graceS=soon");
        SettingsException failure = Assert.expectThrows(
                SettingsException.class, () -> SettingsFile.parse(text).settings());
        Assert.assertEquals(failure.problems().size(), 2);
        Assert.assertTrue(failure.getMessage().contains("zone: missing"), failure.getMessage());
        Assert.assertTrue(failure.getMessage().contains("bounds.graceS: soon; give a whole"), failure.getMessage());
    }
}
