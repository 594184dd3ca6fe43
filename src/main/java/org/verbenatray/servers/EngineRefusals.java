package org.verbenatray.servers;

/** Maps HTTP statuses of engines other than 200 to failures. With each of them the dispatch was not run. */
final class EngineRefusals {
    /** The status of an engine that is leaving or changing its role. */
    private static final int LEAVING_STATUS = 410;

    /** The status of an engine whose batch or KV cache is full. */
    private static final int FULL_STATUS = 429;

    private EngineRefusals() {}

    /** Returns the failure for a response with the given status and body. */
    static ServerFailure failureOf(int status, String body) {
        String message = "the engine answered " + status + " " + body;
        return switch (status) {
            case LEAVING_STATUS -> ServerFailure.create(ServerFailure.Kind.LEAVING, message);
            case FULL_STATUS -> ServerFailure.create(ServerFailure.Kind.FULL, message);
            default -> ServerFailure.create(ServerFailure.Kind.REFUSED, message);
        };
    }
}
