package org.verbenatray.configuration;

import java.util.regex.Pattern;

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

    /** The longest name of an author in characters. */
    static final int MAX_AUTHOR_CHARS = 128;

    /** The longest file name in characters. */
    static final int MAX_FILE_NAME_CHARS = 101;

    /** The form of a file name. */
    static final Pattern FILE_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,95}\\.yaml");

    /** The allowed form of a file name, for messages. */
    static final String FILE_NAME_FORM = "a name of letters, digits, '.', '_' and '-' that ends in .yaml";

    /** The form of the name of an entry, a failure domain, an adapter or a version. */
    static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

    /** The allowed form of a name, for messages. */
    static final String NAME_FORM = "a name of letters, digits, '.', '_' and '-', at most 63 characters";

    /** The largest number of accepted changes whose keys are remembered for judging racing changes. */
    static final int MAX_REMEMBERED_CHANGES = 512;

    /** The largest number of keys that are remembered for judging racing changes. */
    static final int MAX_REMEMBERED_KEYS = 16_384;

    /** The number of accepted changes that the history keeps. */
    static final int HISTORY_ACCEPTED = 256;

    /** The number of rejected changes that the history keeps. */
    static final int HISTORY_REJECTED = 64;

    /** The largest number of files that one history entry names. */
    static final int HISTORY_FILES = 32;

    /** Prevents instances. */
    private ConfigurationLimits() {}
}
