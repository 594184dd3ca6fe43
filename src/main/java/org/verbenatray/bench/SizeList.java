package org.verbenatray.bench;

import java.util.ArrayList;
import java.util.List;
import org.verbenatray.settings.SettingsCheck;

/** Reads lists of sizes such as {@code 1,32,256}. */
public final class SizeList {
    /** What a list has to look like. */
    private static final String REMEDY = "give whole numbers above zero, separated by commas, such as 1,32,256";

    /** Prevents instances. */
    private SizeList() {}

    /** Returns the sizes of a flag in the order in which they are given, and notes what is wrong. */
    public static List<Integer> parse(String flag, String value, int largest, SettingsCheck check) {
        List<Integer> sizes = new ArrayList<>();
        for (String part : value.split(",", -1)) {
            int size = size(part.strip());
            if (size < 1 || size > largest) {
                check.report(flag, value, REMEDY + ", each at most " + largest);
                return List.of();
            }
            sizes.add(size);
        }
        return List.copyOf(sizes);
    }

    /** Returns a size, zero when the text is no whole number. */
    private static int size(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
