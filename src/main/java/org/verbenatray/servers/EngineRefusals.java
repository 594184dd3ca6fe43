package org.verbenatray.servers;

/** The meaning of an engine's HTTP status other than 200: the dispatch did not run. */
final class EngineRefusals {
    /** The status of an engine that is leaving or changing its role. */
    private static final int LEAVING = 410;

    /** The status of an engine whose batch or cache is full. */
    private static final int FULL = 429;

    /** Prevents instances. */
    private EngineRefusals() {}

    /** Returns the failure that a status states. */
    static ServerFailure of(int status, String body) {
        String message = "the engine answered " + status + " " + body;
        return switch (status) {
            case LEAVING -> ServerFailure.create(ServerFailure.Kind.LEAVING, message);
            case FULL -> ServerFailure.create(ServerFailure.Kind.FULL, message);
            default -> ServerFailure.create(ServerFailure.Kind.REFUSED, message);
        };
    }
}
