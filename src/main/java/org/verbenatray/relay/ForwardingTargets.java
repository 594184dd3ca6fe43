package org.verbenatray.relay;

import java.net.URI;
import java.util.Collection;
import java.util.Optional;

/** The instances to which this one forwards requests that it can't send to a server. Used on one thread. */
public interface ForwardingTargets {
    /**
     * Returns whether this instance is partitioned from servers that others reach, so that they serve its callers
     * better.
     */
    boolean isPartitioned();

    /** Returns an instance that has reached servers lately and was not tried; empty if none is known. */
    Optional<URI> choose(Collection<URI> tried);
}
