package org.verbenatray.configuration;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.verbenatray.log.RecordCodec;

/**
 * Reads and replaces the files of a configuration folder.
 *
 * <p>The publish state, which records what the publisher last saw, is stored in a hidden file of the folder.
 */
public final class ConfigurationFolder {
    private static final String PUBLISH_STATE_FILE = ".published.json";

    /** Copies of replaced files; not ending in .yaml, they are not read as configuration. */
    private static final String COPY_SUFFIX = ".mine";

    private static final int MAX_DIRECTORY_ENTRIES = 4 * ConfigurationLimits.MAX_FILES;

    /** A character takes at most four bytes in UTF-8. */
    private static final int MAX_FILE_BYTES = 4 * ConfigurationLimits.MAX_FILE_CHARS;

    private ConfigurationFolder() {}

    /**
     * Returns the text of every {@code *.yaml} file by name; hidden files are ignored.
     *
     * @throws ConfigurationFolderException if the folder or a file cannot be read or exceeds a limit
     */
    public static SortedMap<String, String> read(Path folder) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        SortedMap<String, String> textByFile = new TreeMap<>();
        for (Path file : configurationFiles(folder, problems)) {
            readFile(file, textByFile, problems);
        }
        checkTotals(folder, textByFile, problems);
        if (!problems.isEmpty()) {
            throw ConfigurationFolderException.of(problems);
        }
        return textByFile;
    }

    /**
     * Returns the text of every {@code *.yaml} file by name, as {@link #read(Path)}, and fails if there is none.
     *
     * @throws ConfigurationFolderException if the folder has no such file, cannot be read or exceeds a limit
     */
    public static SortedMap<String, String> readNonEmpty(Path folder) {
        SortedMap<String, String> textByFile = read(folder);
        if (textByFile.isEmpty()) {
            String allowed = "at least one file whose name ends in .yaml; an empty folder would remove everything";
            throw ConfigurationFolderException.of(
                    List.of(ConfigurationProblem.ofFile(folder.toString(), "no configuration file", allowed)));
        }
        return textByFile;
    }

    /**
     * Writes a file, or deletes it if no content is given, after saving a copy of the old file.
     *
     * <p>The copy is not read as configuration.
     *
     * @return the name of the copy, empty if there was no file
     * @throws IOException if the name is not allowed or a file cannot be written
     */
    public static Optional<String> replaceFile(Path folder, String name, Optional<String> content) throws IOException {
        if (!ConfigurationLimits.FILE_NAME_PATTERN.matcher(name).matches()) {
            throw new IOException("the file name " + ConfigurationProblem.quoted(name) + " is not usable");
        }
        Path file = folder.resolve(name);
        Optional<Path> copy = Files.exists(file) ? Optional.of(unusedCopyPath(folder, name)) : Optional.empty();
        if (copy.isPresent()) {
            Files.copy(file, copy.get());
        }
        if (content.isPresent()) {
            Path temporary = folder.resolve("." + name + ".new");
            Files.writeString(temporary, content.get());
            Files.move(temporary, file, StandardCopyOption.REPLACE_EXISTING);
        } else {
            Files.deleteIfExists(file);
        }
        return copy.map(path -> path.getFileName().toString());
    }

    private static Path unusedCopyPath(Path folder, String name) {
        Path copy = folder.resolve(name + COPY_SUFFIX);
        for (int number = 2; Files.exists(copy); number++) {
            copy = folder.resolve(name + "." + number + COPY_SUFFIX);
        }
        return copy;
    }

    /**
     * Returns the stored publish state, or the initial one if the folder was never published from here.
     *
     * @throws ConfigurationFolderException if the state cannot be read
     */
    public static PublishState readPublishState(Path folder) {
        Path file = folder.resolve(PUBLISH_STATE_FILE);
        if (!Files.exists(file)) {
            return PublishState.none();
        }
        try {
            return RecordCodec.decode(Files.readString(file), PublishState.class);
        } catch (IOException | IllegalArgumentException e) {
            String found = "an unreadable publish state";
            String allowed = "the file that publish wrote; delete it to be compared with what is in force";
            throw ConfigurationFolderException.of(
                    List.of(ConfigurationProblem.ofFile(file.toString(), found, allowed)));
        }
    }

    /**
     * Stores the publish state in the folder. It is written to a temporary file and then moved.
     *
     * @throws IOException if the file cannot be written
     */
    public static void writePublishState(Path folder, PublishState state) throws IOException {
        Path temporary = folder.resolve(PUBLISH_STATE_FILE + ".new");
        Files.writeString(temporary, RecordCodec.encode(state));
        Files.move(temporary, folder.resolve(PUBLISH_STATE_FILE), StandardCopyOption.REPLACE_EXISTING);
    }

    private static List<Path> configurationFiles(Path folder, List<ConfigurationProblem> problems) {
        if (!Files.isDirectory(folder)) {
            problems.add(
                    ConfigurationProblem.ofFile(folder.toString(), "no folder", "a readable folder of YAML files"));
            return List.of();
        }
        try (Stream<Path> entries = Files.list(folder)) {
            List<Path> files = entries.limit(MAX_DIRECTORY_ENTRIES)
                    .filter(file -> !file.getFileName().toString().startsWith("."))
                    .sorted()
                    .toList();
            files.forEach(file -> checkName(file, problems));
            return files.stream()
                    .filter(file -> file.getFileName().toString().endsWith(".yaml"))
                    .toList();
        } catch (IOException e) {
            problems.add(ConfigurationProblem.ofFile(folder.toString(), "an unreadable folder", "a readable folder"));
            return List.of();
        }
    }

    /** Reports the ending .yml, with which a file would be ignored by mistake, and invalid characters in a name. */
    private static void checkName(Path file, List<ConfigurationProblem> problems) {
        String name = file.getFileName().toString();
        if (name.endsWith(".yml")) {
            problems.add(ConfigurationProblem.ofFile(name, "the ending .yml", "the ending .yaml; rename the file"));
        } else if (name.endsWith(".yaml")
                && !ConfigurationLimits.FILE_NAME_PATTERN.matcher(name).matches()) {
            problems.add(ConfigurationProblem.ofFile(name, "the file name", ConfigurationLimits.ALLOWED_FILE_NAME));
        }
    }

    private static void readFile(Path file, SortedMap<String, String> textByFile, List<ConfigurationProblem> problems) {
        String name = file.getFileName().toString();
        try (InputStream in = Files.newInputStream(file)) {
            byte[] bytes = in.readNBytes(MAX_FILE_BYTES + 1);
            if (bytes.length > MAX_FILE_BYTES) {
                String allowed = "at most " + ConfigurationLimits.MAX_FILE_CHARS + " characters; split the file";
                problems.add(ConfigurationProblem.ofFile(name, "more than " + MAX_FILE_BYTES + " bytes", allowed));
                return;
            }
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
            textByFile.put(name, text);
        } catch (CharacterCodingException e) {
            problems.add(ConfigurationProblem.ofFile(name, "bytes that are not UTF-8", "UTF-8 text"));
        } catch (IOException e) {
            problems.add(ConfigurationProblem.ofFile(name, "an unreadable file", "a readable file"));
        }
    }

    private static void checkTotals(
            Path folder, SortedMap<String, String> textByFile, List<ConfigurationProblem> problems) {
        if (textByFile.size() > ConfigurationLimits.MAX_FILES) {
            String allowed = "at most " + ConfigurationLimits.MAX_FILES + " files; join some";
            problems.add(ConfigurationProblem.ofFile(folder.toString(), textByFile.size() + " files", allowed));
        }
        long chars = textByFile.values().stream().mapToLong(String::length).sum();
        if (chars > ConfigurationLimits.MAX_TOTAL_CHARS) {
            String allowed = "at most " + ConfigurationLimits.MAX_TOTAL_CHARS + " characters in all files";
            problems.add(ConfigurationProblem.ofFile(folder.toString(), chars + " characters", allowed));
        }
    }
}
