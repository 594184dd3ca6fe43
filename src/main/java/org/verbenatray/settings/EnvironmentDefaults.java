package org.verbenatray.settings;

import com.beust.jcommander.IDefaultProvider;
import java.util.Locale;
import java.util.Map;

/** Takes the value of a flag that is not given from its environment variable. */
public final class EnvironmentDefaults implements IDefaultProvider {
    /** The start of every variable. */
    private static final String PREFIX = "VERBENATRAY_";

    /** The environment. */
    private final Map<String, String> environment;

    /** Creates a provider. */
    private EnvironmentDefaults(Map<String, String> environment) {
        this.environment = environment;
    }

    /** Returns a provider of the given environment. */
    public static EnvironmentDefaults of(Map<String, String> environment) {
        return new EnvironmentDefaults(environment);
    }

    /** Returns the environment variable of a flag, such as {@code VERBENATRAY_NAME} for {@code --name}. */
    public static String variableOf(String flag) {
        return PREFIX + flag.replaceFirst("^-+", "").replace('-', '_').toUpperCase(Locale.ROOT);
    }

    @Override
    public String getDefaultValueFor(String optionName) {
        return environment.get(variableOf(optionName));
    }
}
