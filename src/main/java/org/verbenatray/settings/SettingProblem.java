package org.verbenatray.settings;

/**
 * A setting that cannot be used.
 *
 * @param flag the flag
 * @param found what was given, or that it is missing
 * @param remedy what is allowed
 */
public record SettingProblem(String flag, String found, String remedy) {
    @Override
    public String toString() {
        return flag + ": " + found + "; " + remedy + " (or set " + EnvironmentDefaults.variableOf(flag) + ")";
    }
}
