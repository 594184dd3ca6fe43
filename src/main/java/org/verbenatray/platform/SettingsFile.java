package org.verbenatray.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.duties.DutySettings;
import org.verbenatray.settings.SettingsCheck;

/**
 * The platform's settings file: lines of key=value.
 *
 * <p>Blank lines, lines without a key, lines that start with # and unknown keys are ignored.
 */
final class SettingsFile {
    private final Map<String, String> values;

    private SettingsFile(Map<String, String> values) {
        this.values = values;
    }

    /** Returns the text of a file; fails with {@link UncheckedIOException} if it can't be read. */
    static String read(Path path) {
        try {
            return Files.readString(path, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read the settings file " + path + "; check that it is there", e);
        }
    }

    /** Parses the text of a file. */
    static SettingsFile parse(String text) {
        Map<String, String> values = new HashMap<>();
        text.lines()
                .map(String::strip)
                .filter(line -> !line.isEmpty() && !line.startsWith("#") && line.indexOf('=') > 0)
                .forEach(line -> values.put(
                        line.substring(0, line.indexOf('=')).strip(),
                        line.substring(line.indexOf('=') + 1).strip()));
        return new SettingsFile(values);
    }

    /**
     * Returns the checked settings.
     *
     * <p>Fails with a {@link org.verbenatray.settings.SettingsException} that lists every missing or invalid setting.
     */
    PlatformSettings toPlatformSettings() {
        SettingsCheck check = SettingsCheck.create();
        PlatformSettings settings = new PlatformSettings(
                check.name("nodeName", values.get("nodeName")),
                check.name("zone", values.get("zone")),
                check.address("listen.front", values.get("listen.front")),
                check.address("listen.ready", values.get("listen.ready")),
                check.address("internalPorts", peerAddress()),
                check.address("platform.address", values.get("platform.address")),
                check.number("bounds.graceS", integerPart("bounds.graceS"), 1, 3_600) * 1_000,
                check.number("bounds.drainMs", integerPart("bounds.drainMs"), 100, 600_000),
                check.number("bounds.configApplyMs", integerPart("bounds.configApplyMs"), 100, 600_000),
                check.decimal("bounds.budgetRatio", values.get("bounds.budgetRatio"), 0, 10),
                check.decimal("bounds.budgetExtra", values.getOrDefault("bounds.budgetExtra", "0"), 0, 1_000_000),
                (long) (1_000 * check.decimal("bounds.budgetWindowS", values.get("bounds.budgetWindowS"), 0.1, 600)),
                Optional.ofNullable(values.get("cloud.address"))
                        .filter(text -> !text.isEmpty())
                        .map(text -> check.address("cloud.address", text)),
                duties(check),
                "true".equals(values.get("bootstrap")));
        check.throwIfInvalid();
        return settings;
    }

    /** Returns the duties; there are none without an address for them. */
    private DutySettings duties(SettingsCheck check) {
        List<String> names = List.of(values.getOrDefault("cloud.duties", "").split(","));
        if (values.getOrDefault("cloud.address", "").isEmpty()) {
            return DutySettings.NONE;
        }
        return new DutySettings(
                names.contains("usage"),
                names.contains("scale"),
                millis(check, "bounds.usageWindowS", "5"),
                millis(check, "bounds.usageLateS", "10"));
    }

    private long millis(SettingsCheck check, String key, String fallback) {
        return (long) (1_000 * check.decimal(key, values.getOrDefault(key, fallback), 0.1, 3_600));
    }

    /** Returns the address that listens for the other instances: the callers' host with the first internal port. */
    private String peerAddress() {
        String callerAddress = values.get("listen.front");
        String ports = values.get("internalPorts");
        if (callerAddress == null || ports == null || callerAddress.lastIndexOf(':') < 0) {
            return null;
        }
        return callerAddress.substring(0, callerAddress.lastIndexOf(':') + 1) + ports.split(",", 2)[0].strip();
    }

    /** Returns a value without its fractional part, since the platform may write whole numbers as fractions. */
    private String integerPart(String key) {
        String value = values.get(key);
        return value == null || value.indexOf('.') < 0 ? value : value.substring(0, value.indexOf('.'));
    }
}
