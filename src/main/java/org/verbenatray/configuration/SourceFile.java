package org.verbenatray.configuration;

import java.util.List;

/**
 * A parsed configuration file.
 *
 * @param root the top-level mapping, without the parts that could not be read
 * @param problems the syntax errors and other violations of the file format
 */
record SourceFile(SourceNode.Mapping root, List<ConfigurationProblem> problems) {}
