package org.verbenatray.framing;

/**
 * The first line of a request, as far as the framing depends on it.
 *
 * @param minorVersion the minor version of HTTP, whose major version is 1
 */
record RequestLine(int minorVersion) {
    /**
     * Checks a line and returns its version.
     *
     * @throws MalformedMessageException if the line is not a method, a target and a version with a space between them
     */
    static RequestLine of(LineBuffer line) throws MalformedMessageException {
        int methodEnd = 0;
        while (methodEnd < line.length() && MessageBytes.isToken(line.at(methodEnd))) {
            methodEnd++;
        }
        int targetEnd = methodEnd + 1;
        while (targetEnd < line.length() && MessageBytes.isVisible(line.at(targetEnd))) {
            targetEnd++;
        }
        boolean separated = targetEnd < line.length() && line.at(methodEnd) == ' ' && line.at(targetEnd) == ' ';
        if (!separated || methodEnd == 0 || targetEnd == methodEnd + 1) {
            throw MalformedMessageException.of("the first line is not a request line");
        }
        return new RequestLine(HttpVersion.minorOf(line, targetEnd + 1, line.length()));
    }
}
