package org.verbenatray.configuration;

/**
 * A place in a configuration file.
 *
 * @param file the file name
 * @param line the line, counted from 1
 */
record SourcePlace(String file, int line) {}
