package org.verbenatray.settings;

/**
 * A setting that cannot be used.
 *
 * @param flag the flag, or the key in a settings file
 * @param found what was given, or that it is missing
 * @param remedy what is allowed
 */
public record SettingProblem(String flag, String found, String remedy) {
    @Override
    public String toString() {
        String problem = flag + ": " + found + "; " + remedy;
        return flag.startsWith("--") ? problem + " (or set " + EnvironmentDefaults.variableOf(flag) + ")" : problem;
    }
}
