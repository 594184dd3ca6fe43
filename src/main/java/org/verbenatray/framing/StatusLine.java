package org.verbenatray.framing;

/**
 * The first line of a response.
 *
 * @param minorVersion the minor version of HTTP, whose major version is 1
 * @param status the status, from 100 to 599
 */
record StatusLine(int minorVersion, int status) {
    private static final int STATUS_START = HttpVersion.LENGTH + 1;

    private static final int STATUS_END = STATUS_START + 3;

    private static final int MIN_STATUS = 100;

    private static final int MAX_STATUS = 599;

    /**
     * Checks a line and returns its version and status.
     *
     * @throws MalformedMessageException if the line is not a version, a status and a reason with a space between them
     */
    static StatusLine of(LineBuffer line) throws MalformedMessageException {
        if (line.length() <= STATUS_END || line.at(HttpVersion.LENGTH) != ' ' || line.at(STATUS_END) != ' ') {
            throw MalformedMessageException.of("the first line is not a status line");
        }
        int minorVersion = HttpVersion.minorOf(line, 0, HttpVersion.LENGTH);
        for (int index = STATUS_END; index < line.length(); index++) {
            if (!MessageBytes.isText(line.at(index))) {
                throw MalformedMessageException.of("the reason of the status holds a control character");
            }
        }
        return new StatusLine(minorVersion, statusOf(line));
    }

    private static int statusOf(LineBuffer line) throws MalformedMessageException {
        int status = 0;
        for (int index = STATUS_START; index < STATUS_END; index++) {
            if (!MessageBytes.isDigit(line.at(index))) {
                throw MalformedMessageException.of("the status is not a number");
            }
            status = 10 * status + line.at(index) - '0';
        }
        if (status < MIN_STATUS || status > MAX_STATUS) {
            throw MalformedMessageException.of("the status " + status + " is not between 100 and 599");
        }
        return status;
    }
}
