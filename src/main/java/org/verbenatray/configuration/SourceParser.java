package org.verbenatray.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.verbenatray.configuration.SourceNode.Mapping;

/** Parses one YAML file into nodes that carry their locations, which the error messages name. */
final class SourceParser {
    private static final YAMLFactory FACTORY = new YAMLFactory();

    private final String file;

    private final YAMLParser parser;

    private final List<ConfigurationProblem> problems = new ArrayList<>();

    private SourceParser(String file, YAMLParser parser) {
        this.file = file;
        this.parser = parser;
    }

    /** Parses a file; all violations of the file format are returned as problems. */
    static SourceFile parse(String file, String text) {
        if (text.length() > ConfigurationLimits.MAX_FILE_CHARS) {
            String allowed = "at most " + ConfigurationLimits.MAX_FILE_CHARS + " characters; split the file";
            return failed(file, ConfigurationProblem.ofFile(file, text.length() + " characters", allowed));
        }
        try (YAMLParser parser = FACTORY.createParser(text)) {
            return new SourceParser(file, parser).readFile();
        } catch (JsonProcessingException e) {
            return failed(file, syntaxProblem(file, e));
        } catch (IOException e) {
            return failed(file, ConfigurationProblem.ofFile(file, e.getMessage(), "readable YAML"));
        }
    }

    private static SourceFile failed(String file, ConfigurationProblem problem) {
        return new SourceFile(new Mapping(new SourceLocation(file, 1), Map.of()), List.of(problem));
    }

    private static ConfigurationProblem syntaxProblem(String file, JsonProcessingException e) {
        int line = e.getLocation() == null ? 0 : Math.max(0, e.getLocation().getLineNr());
        String reason =
                String.valueOf(e.getOriginalMessage()).lines().findFirst().orElse("");
        String found = "malformed YAML (" + reason + ")";
        return new ConfigurationProblem(
                file, line, "", found, "well-formed YAML; check indentation and quotation marks");
    }

    private SourceFile readFile() throws IOException {
        Mapping empty = new Mapping(new SourceLocation(file, 1), Map.of());
        JsonToken first = parser.nextToken();
        if (first == null || first == JsonToken.VALUE_NULL) {
            return new SourceFile(empty, problems);
        }
        if (first != JsonToken.START_OBJECT) {
            SourceNode node = readNode(currentLocation(), "", 0);
            report(node.location(), "", node.description(), "a mapping with the keys models, customers, ...");
            return new SourceFile(empty, problems);
        }
        Mapping root = readMapping(currentLocation(), "", 0);
        if (parser.nextToken() != null) {
            report(currentLocation(), "", "a second document", "one YAML document per file; remove the line ---");
        }
        return new SourceFile(root, problems);
    }

    /** Reads the value at the current token; the location is that of its key or list item. */
    private SourceNode readNode(SourceLocation location, String key, int depth) throws IOException {
        if (parser.isCurrentAlias()) {
            report(location, key, "an alias", "values written out; aliases are not supported");
            return new SourceNode.Removal(location);
        }
        return switch (parser.currentToken()) {
            case START_OBJECT -> readMapping(location, key, depth);
            case START_ARRAY -> readSequence(location, key, depth);
            case VALUE_NULL -> new SourceNode.Removal(location);
            default -> new SourceNode.Scalar(location, parser.getText());
        };
    }

    /** Reads a mapping; the current token is its start. */
    private Mapping readMapping(SourceLocation location, String key, int depth) throws IOException {
        Map<String, SourceNode> entries = new LinkedHashMap<>();
        if (reportIfTooDeep(location, key, depth)) {
            parser.skipChildren();
            return new Mapping(location, entries);
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            readEntry(key, depth, entries);
        }
        return new Mapping(location, entries);
    }

    /** Reads one entry of a mapping; the current token is its name. */
    private void readEntry(String key, int depth, Map<String, SourceNode> entries) throws IOException {
        String name = parser.currentName();
        SourceLocation location = currentLocation();
        String path = key.isEmpty() ? name : key + "." + name;
        parser.nextToken();
        SourceNode value = readNode(location, path, depth + 1);
        if (!ConfigurationLimits.NAME_PATTERN.matcher(name).matches()) {
            report(location, key, "the key " + ConfigurationProblem.quoted(name), ConfigurationLimits.ALLOWED_NAME);
        } else if (entries.containsKey(name)) {
            int firstLine = entries.get(name).location().line();
            report(
                    location,
                    path,
                    "the key a second time (first in line " + firstLine + ")",
                    "each key once; remove one");
        } else {
            entries.put(name, value);
        }
    }

    /** Reads a list; the current token is its start. */
    private SourceNode readSequence(SourceLocation location, String key, int depth) throws IOException {
        List<SourceNode> items = new ArrayList<>();
        if (reportIfTooDeep(location, key, depth)) {
            parser.skipChildren();
            return new SourceNode.Sequence(location, items);
        }
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(readNode(currentLocation(), key + "[" + items.size() + "]", depth + 1));
        }
        return new SourceNode.Sequence(location, items);
    }

    /** Reports a value that is nested too deeply, and returns whether it is. */
    private boolean reportIfTooDeep(SourceLocation location, String key, int depth) {
        if (depth <= ConfigurationLimits.MAX_DEPTH) {
            return false;
        }
        report(location, key, "deeper nesting", "at most " + ConfigurationLimits.MAX_DEPTH + " levels");
        return true;
    }

    private SourceLocation currentLocation() {
        return new SourceLocation(file, parser.currentTokenLocation().getLineNr());
    }

    private void report(SourceLocation location, String key, String found, String allowed) {
        problems.add(ConfigurationProblem.at(location, key, found, allowed));
    }
}
