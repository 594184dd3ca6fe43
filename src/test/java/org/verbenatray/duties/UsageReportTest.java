package org.verbenatray.duties;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.testng.Assert;
import org.testng.annotations.Test;

/** The text of a usage report, from which a successor repeats it. */
public final class UsageReportTest {
    @Test
    public void aReportIsReadAsItWasWritten() {
        UsageReport report = new UsageReport(17, new TreeMap<>(Map.of("acme", 2, "a=b, c\nd", 3, "", 1)));
        Assert.assertEquals(UsageReport.parse(report.text()), Optional.of(report));
        UsageReport empty = new UsageReport(17, new TreeMap<>());
        Assert.assertEquals(UsageReport.parse(empty.text()), Optional.of(empty));
    }

    @Test
    public void otherTextIsNoReport() {
        for (String text : new String[] {"", "usage", "usage x a=1", "usage 1 a", "usage 1 a=x", "other 1 a=1"}) {
            Assert.assertEquals(UsageReport.parse(text), Optional.empty(), text);
        }
    }
}
