package org.verbenatray.serving;

import java.util.Optional;
import org.verbenatray.once.AtMostOnceResult;
import org.verbenatray.servers.BufferedResponse;

/**
 * The result of a call that runs at most once.
 *
 * @param result the outcome of the call
 * @param ownResponse the backend server's response to this very request, empty unless the request itself was sent
 */
record AtMostOnceResponse(AtMostOnceResult result, Optional<BufferedResponse> ownResponse) {}
