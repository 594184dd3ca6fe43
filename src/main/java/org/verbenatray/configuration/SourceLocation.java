package org.verbenatray.configuration;

/**
 * A location in a configuration file.
 *
 * @param file the file name
 * @param line the line, counted from 1
 */
record SourceLocation(String file, int line) {}
