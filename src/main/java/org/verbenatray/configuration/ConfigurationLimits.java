package org.verbenatray.configuration;

import java.util.regex.Pattern;

/** Limits of a configuration. They belong to the rules of format version 1, so they cannot change within it. */
final class ConfigurationLimits {
    /** The maximum number of files. */
    static final int MAX_FILES = 1_024;

    /** The maximum size of one file in characters. */
    static final int MAX_FILE_CHARS = 256 * 1_024;

    /** The maximum total size of all files in characters. */
    static final int MAX_TOTAL_CHARS = 4 * 1_024 * 1_024;

    /** The maximum nesting depth of mappings and lists in a file. */
    static final int MAX_DEPTH = 8;

    /** The maximum number of problems that are reported at once. */
    static final int MAX_PROBLEMS = 100;

    /** The maximum length of an author name in characters. */
    static final int MAX_AUTHOR_CHARS = 128;

    /** The maximum length of a file name in characters. */
    static final int MAX_FILE_NAME_CHARS = 101;

    /** The pattern of a valid file name. */
    static final Pattern FILE_NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,95}\\.yaml");

    /** The description of a valid file name in messages. */
    static final String ALLOWED_FILE_NAME = "a name of letters, digits, '.', '_' and '-' that ends in .yaml";

    /** The pattern of a valid name of an entry, a failure domain, an adapter or a version. */
    static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

    /** The description of a valid name in messages. */
    static final String ALLOWED_NAME = "a name of letters, digits, '.', '_' and '-', at most 63 characters";

    /** The maximum number of accepted change sets whose entries are retained to detect conflicts. */
    static final int MAX_RETAINED_CHANGES = 512;

    /** The maximum number of files and entries that are retained to detect conflicts. */
    static final int MAX_RETAINED_KEYS = 16_384;

    /** The maximum number of accepted change sets in the history. */
    static final int MAX_HISTORY_ACCEPTED = 256;

    /** The maximum number of rejected change sets in the history. */
    static final int MAX_HISTORY_REJECTED = 64;

    /** The maximum number of files that a history entry names. */
    static final int MAX_HISTORY_FILES = 32;

    private ConfigurationLimits() {}
}
