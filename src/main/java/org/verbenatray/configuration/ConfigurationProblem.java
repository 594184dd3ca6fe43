package org.verbenatray.configuration;

/**
 * One thing that is wrong with a configuration folder.
 *
 * @param file the file, or the folder when no file is at fault
 * @param line the line, counted from 1; 0 when no line is at fault
 * @param key the key with the keys that enclose it, joined by dots; empty for the whole file
 * @param found what was found
 * @param allowed what is allowed
 */
public record ConfigurationProblem(String file, int line, String key, String found, String allowed) {
    /** The longest quotation of a found value in characters. */
    private static final int MAX_QUOTED_CHARS = 80;

    /** Returns what the author has to do. */
    public String remedy() {
        if (key.isEmpty()) {
            return "change " + file + ": " + allowed;
        }
        return "change " + key + " in " + file + ": " + allowed;
    }

    /** Returns the problem in one line. */
    public String message() {
        String place = line > 0 ? file + ":" + line : file;
        String subject = key.isEmpty() ? "" : key + ": ";
        return place + ": " + subject + "found " + found + "; allowed: " + allowed;
    }

    /** Returns a problem at a place of a file. */
    static ConfigurationProblem at(SourcePlace place, String key, String found, String allowed) {
        return new ConfigurationProblem(place.file(), place.line(), key, found, allowed);
    }

    /** Returns a problem of a whole file. */
    static ConfigurationProblem ofFile(String file, String found, String allowed) {
        return new ConfigurationProblem(file, 0, "", found, allowed);
    }

    /** Returns a value in quotation marks, cut to a bounded length and free of control characters. */
    static String quoted(String value) {
        String clean = value.replaceAll("\\p{Cntrl}", " ");
        if (clean.length() > MAX_QUOTED_CHARS) {
            clean = clean.substring(0, MAX_QUOTED_CHARS) + "...";
        }
        return "\"" + clean + "\"";
    }
}
