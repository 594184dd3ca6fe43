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

/** Reads one YAML file into nodes that remember their lines. */
final class SourceParser {
    /** The factory of parsers. */
    private static final YAMLFactory FACTORY = new YAMLFactory();

    /** The name of the file. */
    private final String file;

    /** The parser of the text. */
    private final YAMLParser parser;

    /** What is wrong so far. */
    private final List<ConfigurationProblem> problems = new ArrayList<>();

    /** Creates a parser of one file. */
    private SourceParser(String file, YAMLParser parser) {
        this.file = file;
        this.parser = parser;
    }

    /** Reads a file; everything wrong with its form is among the problems of the result. */
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

    /** Returns the result for a file that could not be read. */
    private static SourceFile failed(String file, ConfigurationProblem problem) {
        return new SourceFile(new Mapping(new SourcePlace(file, 1), Map.of()), List.of(problem));
    }

    /** Returns the problem of a file that is not YAML. */
    private static ConfigurationProblem syntaxProblem(String file, JsonProcessingException e) {
        int line = e.getLocation() == null ? 0 : Math.max(0, e.getLocation().getLineNr());
        String reason =
                String.valueOf(e.getOriginalMessage()).lines().findFirst().orElse("");
        String found = "malformed YAML (" + reason + ")";
        return new ConfigurationProblem(
                file, line, "", found, "well-formed YAML; check indentation and quotation marks");
    }

    /** Reads the whole file. */
    private SourceFile readFile() throws IOException {
        Mapping empty = new Mapping(new SourcePlace(file, 1), Map.of());
        JsonToken first = parser.nextToken();
        if (first == null || first == JsonToken.VALUE_NULL) {
            return new SourceFile(empty, problems);
        }
        if (first != JsonToken.START_OBJECT) {
            SourceNode node = readNode(place(), "", 0);
            report(node.place(), "", node.described(), "a mapping with the keys models, customers, ...");
            return new SourceFile(empty, problems);
        }
        Mapping root = readMapping(place(), "", 0);
        if (parser.nextToken() != null) {
            report(place(), "", "a second document", "one YAML document per file; remove the line ---");
        }
        return new SourceFile(root, problems);
    }

    /** Reads the value at the current token, which belongs to a key at the given place. */
    private SourceNode readNode(SourcePlace place, String key, int depth) throws IOException {
        if (parser.isCurrentAlias()) {
            report(place, key, "an alias", "values written out; aliases are not supported");
            return new SourceNode.Removal(place);
        }
        return switch (parser.currentToken()) {
            case START_OBJECT -> readMapping(place, key, depth);
            case START_ARRAY -> readSequence(place, key, depth);
            case VALUE_NULL -> new SourceNode.Removal(place);
            default -> new SourceNode.Scalar(place, parser.getText());
        };
    }

    /** Reads the mapping whose start is the current token. */
    private Mapping readMapping(SourcePlace place, String key, int depth) throws IOException {
        Map<String, SourceNode> entries = new LinkedHashMap<>();
        if (tooDeep(place, key, depth)) {
            parser.skipChildren();
            return new Mapping(place, entries);
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            readEntry(key, depth, entries);
        }
        return new Mapping(place, entries);
    }

    /** Reads one entry of a mapping whose name is the current token. */
    private void readEntry(String key, int depth, Map<String, SourceNode> entries) throws IOException {
        String name = parser.currentName();
        SourcePlace place = place();
        String path = key.isEmpty() ? name : key + "." + name;
        parser.nextToken();
        SourceNode value = readNode(place, path, depth + 1);
        if (!ConfigurationLimits.NAME.matcher(name).matches()) {
            report(place, key, "the key " + ConfigurationProblem.quoted(name), ConfigurationLimits.NAME_FORM);
        } else if (entries.containsKey(name)) {
            int firstLine = entries.get(name).place().line();
            report(place, path, "the key a second time (first in line " + firstLine + ")", "each key once; remove one");
        } else {
            entries.put(name, value);
        }
    }

    /** Reads the list whose start is the current token. */
    private SourceNode readSequence(SourcePlace place, String key, int depth) throws IOException {
        List<SourceNode> items = new ArrayList<>();
        if (tooDeep(place, key, depth)) {
            parser.skipChildren();
            return new SourceNode.Sequence(place, items);
        }
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(readNode(place(), key + "[" + items.size() + "]", depth + 1));
        }
        return new SourceNode.Sequence(place, items);
    }

    /** Reports a value that is nested too deeply. */
    private boolean tooDeep(SourcePlace place, String key, int depth) {
        if (depth <= ConfigurationLimits.MAX_DEPTH) {
            return false;
        }
        report(place, key, "deeper nesting", "at most " + ConfigurationLimits.MAX_DEPTH + " levels");
        return true;
    }

    /** Returns the place of the current token. */
    private SourcePlace place() {
        return new SourcePlace(file, parser.currentTokenLocation().getLineNr());
    }

    /** Adds a problem. */
    private void report(SourcePlace place, String key, String found, String allowed) {
        problems.add(ConfigurationProblem.at(place, key, found, allowed));
    }
}
