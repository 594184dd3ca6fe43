package org.verbenatray.settings;

/**
 * An invalid or missing setting, with its remedy.
 *
 * @param flag the flag, or the key in a settings file
 * @param found the given value, or "missing"
 * @param remedy a description of the allowed values
 */
public record SettingProblem(String flag, String found, String remedy) {
    @Override
    public String toString() {
        String problem = flag + ": " + found + "; " + remedy;
        return flag.startsWith("--") ? problem + " (or set " + EnvironmentDefaults.variableOf(flag) + ")" : problem;
    }
}
