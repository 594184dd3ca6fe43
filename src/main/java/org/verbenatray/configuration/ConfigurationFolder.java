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

/** Reads the files of a configuration folder, and keeps beside them what its publisher last saw. */
public final class ConfigurationFolder {
    /** The hidden file that holds the publish state. */
    private static final String PUBLISH_STATE_FILE = ".published.json";

    /** The end of the names of copies of replaced files. */
    private static final String COPY_SUFFIX = ".mine";

    /** The largest number of directory entries that are looked at. */
    private static final int MAX_DIRECTORY_ENTRIES = 4 * ConfigurationLimits.MAX_FILES;

    /** The largest number of bytes that a file of the allowed characters can have. */
    private static final int MAX_FILE_BYTES = 4 * ConfigurationLimits.MAX_FILE_CHARS;

    /** Prevents instances. */
    private ConfigurationFolder() {}

    /**
     * Returns the text of every {@code *.yaml} file by name.
     *
     * @throws ConfigurationFolderException when the folder or a file cannot be read or breaks a bound
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
     * Returns the text of every {@code *.yaml} file by name, of at least one.
     *
     * @throws ConfigurationFolderException when the folder holds none, cannot be read or breaks a bound
     */
    public static SortedMap<String, String> readSome(Path folder) {
        SortedMap<String, String> textByFile = read(folder);
        if (textByFile.isEmpty()) {
            String allowed = "at least one file whose name ends in .yaml; an empty folder would remove everything";
            throw ConfigurationFolderException.of(
                    List.of(ConfigurationProblem.ofFile(folder.toString(), "no configuration file", allowed)));
        }
        return textByFile;
    }

    /**
     * Writes or removes one file and keeps a copy of what was there, which is not read as configuration.
     *
     * @return the name of the copy, empty when there was no file
     * @throws IOException when a file cannot be written
     */
    public static Optional<String> replace(Path folder, String name, Optional<String> content) throws IOException {
        if (!ConfigurationLimits.FILE_NAME.matcher(name).matches()) {
            throw new IOException("the file name " + ConfigurationProblem.quoted(name) + " is not usable");
        }
        Path file = folder.resolve(name);
        Optional<Path> copy = Files.exists(file) ? Optional.of(freeCopy(folder, name)) : Optional.empty();
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

    /** Returns the first name for a copy that no file has. */
    private static Path freeCopy(Path folder, String name) {
        Path copy = folder.resolve(name + COPY_SUFFIX);
        for (int number = 2; Files.exists(copy); number++) {
            copy = folder.resolve(name + "." + number + COPY_SUFFIX);
        }
        return copy;
    }

    /** Returns what the publisher of the folder last saw, nothing when the folder was never published from here. */
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

    /** Keeps what the publisher of the folder last saw. */
    public static void writePublishState(Path folder, PublishState state) throws IOException {
        Path temporary = folder.resolve(PUBLISH_STATE_FILE + ".new");
        Files.writeString(temporary, RecordCodec.encode(state));
        Files.move(temporary, folder.resolve(PUBLISH_STATE_FILE), StandardCopyOption.REPLACE_EXISTING);
    }

    /** Returns the files whose name ends in .yaml. */
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

    /** Reports a file whose name would be passed over by mistake or breaks the form. */
    private static void checkName(Path file, List<ConfigurationProblem> problems) {
        String name = file.getFileName().toString();
        if (name.endsWith(".yml")) {
            problems.add(ConfigurationProblem.ofFile(name, "the ending .yml", "the ending .yaml; rename the file"));
        } else if (name.endsWith(".yaml")
                && !ConfigurationLimits.FILE_NAME.matcher(name).matches()) {
            problems.add(ConfigurationProblem.ofFile(name, "the file name", ConfigurationLimits.FILE_NAME_FORM));
        }
    }

    /** Reads one file. */
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

    /** Reports a folder that is too large as a whole. */
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
