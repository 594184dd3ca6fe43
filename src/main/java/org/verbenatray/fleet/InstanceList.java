package org.verbenatray.fleet;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of instances, which lags behind reality. */
@FunctionalInterface
public interface InstanceList {
    /** Returns the present list; fails when the platform does not answer. */
    CompletableFuture<List<InstanceEntry>> list();
}
