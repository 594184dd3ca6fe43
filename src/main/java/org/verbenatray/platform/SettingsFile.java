package org.verbenatray.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.verbenatray.settings.SettingsCheck;

/** The settings file of a machine: lines of key=value; keys that are not read are ignored. */
final class SettingsFile {
    /** The values by key. */
    private final Map<String, String> values;

    /** Creates a file with the given values. */
    private SettingsFile(Map<String, String> values) {
        this.values = values;
    }

    /** Returns the text of a file. */
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

    /** Returns the settings, or fails with everything that is wrong at once. */
    MachineSettings settings() {
        SettingsCheck check = SettingsCheck.create();
        MachineSettings settings = new MachineSettings(
                check.name("nodeName", values.get("nodeName")),
                check.name("zone", values.get("zone")),
                check.address("listen.front", values.get("listen.front")),
                check.address("listen.ready", values.get("listen.ready")),
                check.address("internalPorts", exchange()),
                check.address("platform.address", values.get("platform.address")),
                check.number("bounds.graceS", whole("bounds.graceS"), 1, 3_600) * 1_000,
                check.number("bounds.drainMs", whole("bounds.drainMs"), 100, 600_000),
                check.number("bounds.configApplyMs", whole("bounds.configApplyMs"), 100, 600_000),
                check.fraction("bounds.budgetRatio", values.get("bounds.budgetRatio"), 0, 10),
                (long) (1_000 * check.fraction("bounds.budgetWindowS", values.get("bounds.budgetWindowS"), 0.1, 600)));
        check.finish();
        return settings;
    }

    /** Returns the address of the machine's first port for the other machines of the system. */
    private String exchange() {
        String callers = values.get("listen.front");
        String ports = values.get("internalPorts");
        if (callers == null || ports == null || callers.lastIndexOf(':') < 0) {
            return null;
        }
        return callers.substring(0, callers.lastIndexOf(':') + 1) + ports.split(",", 2)[0].strip();
    }

    /** Returns a value as a whole number where it is written as a fraction. */
    private String whole(String key) {
        String value = values.get(key);
        return value == null || value.indexOf('.') < 0 ? value : value.substring(0, value.indexOf('.'));
    }
}
