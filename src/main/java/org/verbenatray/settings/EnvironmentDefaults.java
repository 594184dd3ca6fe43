package org.verbenatray.settings;

import com.beust.jcommander.IDefaultProvider;
import java.util.Locale;
import java.util.Map;

/** Supplies the default value of a command-line flag from its environment variable. */
public final class EnvironmentDefaults implements IDefaultProvider {
    private static final String PREFIX = "VERBENATRAY_";

    private final Map<String, String> environment;

    private EnvironmentDefaults(Map<String, String> environment) {
        this.environment = environment;
    }

    /** Returns a provider that reads the given environment. */
    public static EnvironmentDefaults of(Map<String, String> environment) {
        return new EnvironmentDefaults(environment);
    }

    /** Returns the name of the environment variable of a flag, such as {@code VERBENATRAY_NAME} for {@code --name}. */
    public static String variableOf(String flag) {
        return PREFIX + flag.replaceFirst("^-+", "").replace('-', '_').toUpperCase(Locale.ROOT);
    }

    @Override
    public String getDefaultValueFor(String optionName) {
        return environment.get(variableOf(optionName));
    }
}
