package org.verbenatray.serving;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.configuration.FleetConfiguration.CallSpec;
import org.verbenatray.configuration.FleetConfiguration.ServiceSpec;
import org.verbenatray.servers.ServiceRequest;

/** Finds the configured service and call of a request and validates its path, query and idempotency key. */
final class ServiceCallParser {
    /** The request header with the idempotency key of a call that runs at most once. */
    static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    /** The path prefix of all calls of plain services; the name of the service follows it. */
    static final String PATH_PREFIX = "/services/";

    /** The paths that are forwarded: without escapes, which a backend server might decode differently. */
    private static final Pattern FORWARDABLE_PATH = Pattern.compile("(/[A-Za-z0-9._~!$&'()*+,;=:@-]*)+");

    /** The queries that are forwarded. */
    private static final Pattern FORWARDABLE_QUERY = Pattern.compile("[A-Za-z0-9._~!$&'()*+,;=:@/?%-]*");

    /** The accepted idempotency keys: 1 to 200 visible ASCII characters. */
    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7e]{1,200}");

    private final Supplier<ActiveConfiguration> configuration;

    ServiceCallParser(Supplier<ActiveConfiguration> configuration) {
        this.configuration = configuration;
    }

    /** Returns the validated call; throws a {@link RefusalException} that names the fault. */
    ServiceCall parse(HttpServerExchange exchange, CallerRequest request) {
        String rest = exchange.getRequestURI().substring(PATH_PREFIX.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        checkPath(path, exchange.getQueryString());
        ServiceSpec service = configuration.get().fleet().services().get(name);
        if (service == null) {
            throw notFound("the service " + name + " is not configured; ask the operators for its name");
        }
        String method = exchange.getRequestMethod().toString();
        CallSpec call = service.calls().stream()
                .filter(candidate -> matches(candidate, method, path))
                .findFirst()
                .orElseThrow(() -> notFound("the call " + method + " " + path + " of service " + name
                        + " is not configured; use one of its configured calls"));
        String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
        ServiceRequest sent = new ServiceRequest(
                request.requestId(),
                request.customer(),
                method,
                path + query,
                Optional.ofNullable(request.headers().getFirst(Headers.CONTENT_TYPE))
                        .orElse(""),
                request.body(),
                request.deadline());
        return new ServiceCall(name, service, call, idempotencyKey(request), sent);
    }

    /** Returns whether a configured call covers the method and the path of a request. */
    private static boolean matches(CallSpec call, String method, String path) {
        boolean below = path.startsWith(call.path().endsWith("/") ? call.path() : call.path() + "/");
        return call.method().equalsIgnoreCase(method) && (path.equals(call.path()) || below);
    }

    /** Rejects paths and queries that a backend server might interpret differently from this instance. */
    private static void checkPath(String path, String query) {
        boolean hasDotSegment =
                path.contains("/../") || path.contains("/./") || path.endsWith("/..") || path.endsWith("/.");
        if (hasDotSegment
                || path.contains("//")
                || !FORWARDABLE_PATH.matcher(path).matches()) {
            throw badRequest(
                    "the path contains dot segments, empty segments or escapes; send it in its normalized form");
        }
        if (!FORWARDABLE_QUERY.matcher(query).matches()) {
            throw badRequest("the query contains characters that must be escaped; escape them");
        }
    }

    private static Optional<String> idempotencyKey(CallerRequest request) {
        Optional<String> idempotencyKey = Optional.ofNullable(request.headers().getFirst(IDEMPOTENCY_KEY_HEADER));
        if (idempotencyKey.isPresent()
                && !IDEMPOTENCY_KEY.matcher(idempotencyKey.get()).matches()) {
            throw badRequest(
                    "the header " + IDEMPOTENCY_KEY_HEADER + " is not 1 to 200 visible ASCII characters; use a UUIDv7");
        }
        return idempotencyKey;
    }

    /** Returns the refusal of an invalid request. */
    private static RefusalException badRequest(String message) {
        return new RefusalException(Refusal.notRun(RefusalKind.BAD_REQUEST, message));
    }

    /** Returns the refusal of a service or call that is not configured. */
    private static RefusalException notFound(String message) {
        return new RefusalException(Refusal.notRun(RefusalKind.NOT_FOUND, message));
    }
}
