package org.verbenatray.openwork;

import java.net.InetSocketAddress;
import org.verbenatray.servers.Ipv4Address;

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
        InetSocketAddress address = Ipv4Address.parse(hostAndPort)
                .orElseThrow(() -> new IllegalArgumentException("no IPv4 address with a port: " + hostAndPort));
        return new ListedInstance(address, space < 0 ? "" : text.substring(space + 1));
    }
}
