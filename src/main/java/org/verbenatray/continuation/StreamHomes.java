package org.verbenatray.continuation;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The instances that keep the origin of a stream.
 *
 * @param others the addresses of those other than this instance
 * @param includesSelf whether this instance is one of them
 */
public record StreamHomes(List<InetSocketAddress> others, boolean includesSelf) {}
