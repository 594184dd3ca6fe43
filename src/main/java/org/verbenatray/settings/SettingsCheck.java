package org.verbenatray.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Parses and validates the settings of a command and collects all problems, so that they are reported together. A
 * method that finds a problem returns a placeholder; {@link #throwIfInvalid} must be called before the values are
 * used.
 */
public final class SettingsCheck {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

    /** An IPv4 address, or an IPv6 address in brackets, with a port. */
    private static final Pattern ADDRESS = Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:]+])[:]([0-9]{1,5})");

    private static final int MAX_PORT = 65_535;

    private final List<SettingProblem> problems = new ArrayList<>();

    private SettingsCheck() {}

    /** Returns a check without problems. */
    public static SettingsCheck create() {
        return new SettingsCheck();
    }

    /** Returns a valid name of 1 to 63 letters, digits, dots, underscores and hyphens. */
    public String name(String flag, String value) {
        if (isMissing(flag, value, "give a name of letters, digits, dots, underscores and hyphens")) {
            return "";
        }
        if (!NAME.matcher(value).matches()) {
            report(flag, value, "give 1 to 63 letters, digits, dots, underscores and hyphens");
        }
        return value;
    }

    /** Returns a socket address of an IP address and a port; the system chooses the port where it is 0. */
    public InetSocketAddress address(String flag, String value) {
        String remedy = "give an IP address and a port, such as 127.0.0.1:8080";
        if (isMissing(flag, value, remedy)) {
            return InetSocketAddress.createUnresolved("0.0.0.0", 0);
        }
        var matcher = ADDRESS.matcher(value);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
            report(flag, value, remedy);
            return InetSocketAddress.createUnresolved("0.0.0.0", 0);
        }
        return new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
    }

    /** Returns a base URI with the scheme http, a host, a port and no path. */
    public String uri(String flag, String value) {
        String remedy = "give a base URI, such as http://10.0.0.7:8080";
        if (isMissing(flag, value, remedy)) {
            return "";
        }
        try {
            URI uri = URI.create(value);
            boolean plain = "http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0;
            if (plain && uri.getPath().isEmpty()) {
                return value;
            }
        } catch (IllegalArgumentException e) {
            // Reported below like every other malformed URI.
        }
        report(flag, value, remedy);
        return "";
    }

    /** Returns an integer in an inclusive range. */
    public long number(String flag, String value, long smallest, long largest) {
        String remedy = "give a whole number from " + smallest + " to " + largest;
        if (isMissing(flag, value, remedy)) {
            return smallest;
        }
        try {
            long number = Long.parseLong(value);
            if (number >= smallest && number <= largest) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below like a number out of range.
        }
        report(flag, value, remedy);
        return smallest;
    }

    /** Returns a decimal number in an inclusive range. */
    public double decimal(String flag, String value, double smallest, double largest) {
        String remedy = "give a number from " + smallest + " to " + largest;
        if (isMissing(flag, value, remedy)) {
            return smallest;
        }
        try {
            double number = Double.parseDouble(value);
            if (number >= smallest && number <= largest) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below like a number out of range.
        }
        report(flag, value, remedy);
        return smallest;
    }

    /** Returns a non-blank text. */
    public String text(String flag, String value) {
        return isMissing(flag, value, "give a value") ? "" : value;
    }

    /** Returns an enum constant; case is ignored and hyphens stand for underscores. */
    public <E extends Enum<E>> E choice(String flag, String value, Class<E> type) {
        E[] allowed = type.getEnumConstants();
        for (E candidate : allowed) {
            if (candidate
                    .name()
                    .equalsIgnoreCase(Optional.ofNullable(value).orElse("").replace('-', '_'))) {
                return candidate;
            }
        }
        report(flag, Optional.ofNullable(value).orElse("missing"), "give one of " + List.of(allowed));
        return allowed[0];
    }

    /** Adds a problem. */
    public void report(String flag, String found, String remedy) {
        problems.add(new SettingProblem(flag, found, remedy));
    }

    /** Throws a {@link SettingsException} with all problems if there are any. */
    public void throwIfInvalid() {
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
    }

    /** Returns whether a value is missing or blank, and adds a problem if so. */
    private boolean isMissing(String flag, String value, String remedy) {
        if (value == null || value.isBlank()) {
            report(flag, "missing", remedy);
            return true;
        }
        return false;
    }
}
