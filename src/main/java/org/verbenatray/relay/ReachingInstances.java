package org.verbenatray.relay;

import java.net.URI;
import java.util.Collection;
import java.util.Optional;

/** The other instances, as far as they can serve requests that this one can't send to a server. Used on one thread. */
public interface ReachingInstances {
    /** Returns whether this instance is partitioned from the servers, so that others serve its callers better. */
    boolean areNeeded();

    /** Returns an instance that has reached servers lately and was not tried; empty if none is known. */
    Optional<URI> choose(Collection<URI> tried);
}
