package org.verbenatray.platform;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.settings.SettingsException;

/** Tests of {@link SettingsFile}. */
public final class SettingsFileTest {
    @Test
    public void unknownKeysAreIgnored() {
        PlatformSettings settings =
                SettingsFile.parse(RelayFixture.settingsText("127.0.0.1:9")).toPlatformSettings();
        Assert.assertEquals(settings.name(), "m1");
        Assert.assertEquals(settings.shutdownGraceMillis(), 8_000);
        Assert.assertEquals(settings.storeUri().toString(), "http://127.0.0.1:9");
    }

    @Test
    public void theConstantPartOfTheRetryBudgetIsReadAndZeroIfMissing() {
        String text = RelayFixture.settingsText("127.0.0.1:9");
        Assert.assertEquals(SettingsFile.parse(text).toPlatformSettings().retryExtra(), 0.0);
        Assert.assertEquals(
                SettingsFile.parse(text + "bounds.budgetExtra=12\n")
                        .toPlatformSettings()
                        .retryExtra(),
                12.0);
    }

    @Test
    public void allProblemsAreReportedAtOnceWithTheirRemedies() {
        String text = RelayFixture.settingsText("127.0.0.1:9")
                .replace("zone=z1", "")
                .replace("bounds.graceS=8", "bounds.graceS=soon");
        SettingsException failure = Assert.expectThrows(
                SettingsException.class, () -> SettingsFile.parse(text).toPlatformSettings());
        Assert.assertEquals(failure.problems().size(), 2);
        Assert.assertTrue(failure.getMessage().contains("zone: missing"), failure.getMessage());
        Assert.assertTrue(failure.getMessage().contains("bounds.graceS: soon; give a whole"), failure.getMessage());
    }
}
