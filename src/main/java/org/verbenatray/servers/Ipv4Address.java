package org.verbenatray.servers;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses IPv4 addresses with a port. Nothing is looked up, which would block the event loop. */
public final class Ipv4Address {
    private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)";

    private static final Pattern PATTERN = Pattern.compile("(" + OCTET + "(?:\\." + OCTET + "){3}):(\\d{1,5})");

    private static final int MAX_PORT = 65_535;

    private Ipv4Address() {}

    /** Returns the address in a text of the form host:port; empty if it is none that can be connected to. */
    public static Optional<InetSocketAddress> parse(String text) {
        Matcher matcher = PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        boolean usable = port > 0 && port <= MAX_PORT;
        return usable ? Optional.of(new InetSocketAddress(matcher.group(1), port)) : Optional.empty();
    }
}
