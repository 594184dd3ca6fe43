package org.verbenatray.framing;

/** The version in the first line of a message. */
final class HttpVersion {
    /** The number of bytes of a version. */
    static final int LENGTH = "HTTP/1.1".length();

    private HttpVersion() {}

    /**
     * Returns the minor version that a part of a line states.
     *
     * @throws MalformedMessageException if the part is neither HTTP/1.1 nor HTTP/1.0
     */
    static int minorOf(LineBuffer line, int from, int to) throws MalformedMessageException {
        return switch (line.text(from, to)) {
            case "HTTP/1.1" -> 1;
            case "HTTP/1.0" -> 0;
            default -> throw MalformedMessageException.of("the version is neither HTTP/1.1 nor HTTP/1.0");
        };
    }
}
