package org.verbenatray.openwork;

import java.net.InetSocketAddress;

/**
 * An instance as it stands in the list of instances.
 *
 * @param address the address at which it receives datagrams
 * @param domain its failure domain
 */
public record ListedInstance(InetSocketAddress address, String domain) {
    /** Separates the address from the failure domain. */
    private static final char SEPARATOR = ' ';

    /** Returns the text of the entry: host:port and the failure domain, separated by a space. */
    String text() {
        return address.getHostString() + ":" + address.getPort() + SEPARATOR + domain;
    }

    /**
     * Returns the instance in the text of an entry.
     *
     * @throws IllegalArgumentException if the text has no address
     */
    static ListedInstance parse(String text) {
        int space = text.indexOf(SEPARATOR);
        String hostAndPort = space < 0 ? text : text.substring(0, space);
        int colon = hostAndPort.lastIndexOf(':');
        InetSocketAddress address = new InetSocketAddress(
                hostAndPort.substring(0, Math.max(0, colon)), Integer.parseInt(hostAndPort.substring(colon + 1)));
        return new ListedInstance(address, space < 0 ? "" : text.substring(space + 1));
    }
}
