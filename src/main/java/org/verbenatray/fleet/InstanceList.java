package org.verbenatray.fleet;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Client of the platform's instance list, which lags behind the actual state of the instances. */
@FunctionalInterface
public interface InstanceList {
    /** Reads the current list. The future fails if the platform does not respond. */
    CompletableFuture<List<InstanceEntry>> list();
}
