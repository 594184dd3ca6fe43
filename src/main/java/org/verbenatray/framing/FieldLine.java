package org.verbenatray.framing;

/**
 * A line of a head or a trailer that holds one field.
 *
 * @param line the line; valid until the next one is assembled
 * @param nameEnd the index of the colon
 */
record FieldLine(LineBuffer line, int nameEnd) {
    /**
     * Checks a line and returns its field.
     *
     * @throws MalformedMessageException if the line is not a name, a colon and a value
     */
    static FieldLine of(LineBuffer line) throws MalformedMessageException {
        int colon = 0;
        while (colon < line.length() && MessageBytes.isToken(line.at(colon))) {
            colon++;
        }
        if (colon == 0 || colon == line.length() || line.at(colon) != ':') {
            throw MalformedMessageException.of("a line of the head or the trailer is not a field");
        }
        for (int index = colon + 1; index < line.length(); index++) {
            if (!MessageBytes.isText(line.at(index))) {
                throw MalformedMessageException.of("the value of a field holds a control character");
            }
        }
        return new FieldLine(line, colon);
    }

    /** Returns whether the field has the given name, which is in lower case. */
    boolean isNamed(String name) {
        if (nameEnd != name.length()) {
            return false;
        }
        for (int index = 0; index < nameEnd; index++) {
            if (Character.toLowerCase(line.at(index)) != name.charAt(index)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the value without the blanks around it. */
    String value() {
        int from = nameEnd + 1;
        int to = line.length();
        while (from < to && MessageBytes.isBlank(line.at(from))) {
            from++;
        }
        while (to > from && MessageBytes.isBlank(line.at(to - 1))) {
            to--;
        }
        return line.text(from, to);
    }
}
