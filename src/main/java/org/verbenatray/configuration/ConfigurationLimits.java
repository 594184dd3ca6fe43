package org.verbenatray.configuration;

/** Bounds of a configuration; they belong to the rules of format version 1. */
final class ConfigurationLimits {
    /** The largest number of files. */
    static final int MAX_FILES = 1_024;

    /** The largest size of one file in characters. */
    static final int MAX_FILE_CHARS = 256 * 1_024;

    /** The largest size of all files in characters. */
    static final int MAX_TOTAL_CHARS = 4 * 1_024 * 1_024;

    /** The deepest nesting of mappings and lists in a file. */
    static final int MAX_DEPTH = 8;

    /** The largest number of problems that are reported at once. */
    static final int MAX_PROBLEMS = 100;

    /** The form of a file name. */
    static final String FILE_NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,95}\\.yaml";

    /** The form of the name of an entry, a failure domain, an adapter or a version. */
    static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

    /** Prevents instances. */
    private ConfigurationLimits() {}
}
