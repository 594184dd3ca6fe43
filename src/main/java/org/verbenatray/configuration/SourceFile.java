package org.verbenatray.configuration;

import java.util.List;

/**
 * A parsed configuration file.
 *
 * @param root the top-level mapping; what could not be read is left out
 * @param problems what is wrong with the file's form
 */
record SourceFile(SourceNode.Mapping root, List<ConfigurationProblem> problems) {}
