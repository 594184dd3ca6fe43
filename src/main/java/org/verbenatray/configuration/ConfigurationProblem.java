package org.verbenatray.configuration;

/**
 * A problem in a configuration folder.
 *
 * @param file the file, or the folder if the problem is not in a single file
 * @param line the line, counted from 1; 0 if the problem is not in a single line
 * @param key the full key with its enclosing keys, joined by dots; empty for the whole file
 * @param found the description of the invalid value
 * @param allowed the description of valid values
 */
public record ConfigurationProblem(String file, int line, String key, String found, String allowed) {
    private static final int MAX_QUOTED_CHARS = 80;

    /** Returns the remedy for the author of the folder. */
    public String remedy() {
        if (key.isEmpty()) {
            return "change " + file + ": " + allowed;
        }
        return "change " + key + " in " + file + ": " + allowed;
    }

    /** Returns the location, the key, the invalid value and the valid ones in one line. */
    public String message() {
        String location = line > 0 ? file + ":" + line : file;
        String subject = key.isEmpty() ? "" : key + ": ";
        return location + ": " + subject + "found " + found + "; allowed: " + allowed;
    }

    /** Returns a problem at a location in a file. */
    static ConfigurationProblem at(SourceLocation location, String key, String found, String allowed) {
        return new ConfigurationProblem(location.file(), location.line(), key, found, allowed);
    }

    /** Returns a problem of a whole file. */
    static ConfigurationProblem ofFile(String file, String found, String allowed) {
        return new ConfigurationProblem(file, 0, "", found, allowed);
    }

    /** Returns a value in quotation marks, cut to 80 characters, with control characters replaced by spaces. */
    static String quoted(String value) {
        String clean = value.replaceAll("\\p{Cntrl}", " ");
        if (clean.length() > MAX_QUOTED_CHARS) {
            clean = clean.substring(0, MAX_QUOTED_CHARS) + "...";
        }
        return "\"" + clean + "\"";
    }
}
