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

/** Finds the configured service and call of a request and checks its path and key. */
final class ServiceFilter {
    /** The header that carries the key of a call that may run at most once. */
    static final String KEY_HEADER = "Idempotency-Key";

    /** The start of every path. */
    static final String PREFIX = "/services/";

    /** The form of a path that is passed on. */
    private static final Pattern PLAIN_PATH = Pattern.compile("(/[A-Za-z0-9._~!$&'()*+,;=:@-]*)+");

    /** The form of a query that is passed on. */
    private static final Pattern PLAIN_QUERY = Pattern.compile("[A-Za-z0-9._~!$&'()*+,;=:@/?%-]*");

    /** The form of an idempotency key. */
    private static final Pattern KEY = Pattern.compile("[\\x21-\\x7e]{1,200}");

    /** The configuration in force. */
    private final Supplier<ActiveConfiguration> configuration;

    /** Creates the step. */
    ServiceFilter(Supplier<ActiveConfiguration> configuration) {
        this.configuration = configuration;
    }

    /** Returns the call; fails with a {@link RefusalException} that names what is wrong. */
    ServiceCall apply(HttpServerExchange exchange, CallerRequest request) {
        String rest = exchange.getRequestURI().substring(PREFIX.length());
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
        return new ServiceCall(name, service, call, key(request), sent);
    }

    /** Returns whether a configured call covers a request. */
    private static boolean matches(CallSpec call, String method, String path) {
        boolean below = path.startsWith(call.path().endsWith("/") ? call.path() : call.path() + "/");
        return call.method().equalsIgnoreCase(method) && (path.equals(call.path()) || below);
    }

    /** Refuses paths that a backend server might read differently. */
    private static void checkPath(String path, String query) {
        boolean climbs = path.contains("/../") || path.contains("/./") || path.endsWith("/..") || path.endsWith("/.");
        if (climbs || path.contains("//") || !PLAIN_PATH.matcher(path).matches()) {
            throw bad("the path holds dots, empty parts or escapes; send it in its plain form");
        }
        if (!PLAIN_QUERY.matcher(query).matches()) {
            throw bad("the query holds characters that must be escaped; escape them");
        }
    }

    /** Returns the idempotency key. */
    private static Optional<String> key(CallerRequest request) {
        Optional<String> key = Optional.ofNullable(request.headers().getFirst(KEY_HEADER));
        if (key.isPresent() && !KEY.matcher(key.get()).matches()) {
            throw bad("the header " + KEY_HEADER + " is not 1 to 200 visible ASCII characters; use a UUIDv7");
        }
        return key;
    }

    /** Returns the refusal of a malformed request. */
    private static RefusalException bad(String message) {
        return new RefusalException(Refusal.notRun(RefusalKind.BAD_REQUEST, message));
    }

    /** Returns the refusal of what is not configured. */
    private static RefusalException notFound(String message) {
        return new RefusalException(Refusal.notRun(RefusalKind.NOT_FOUND, message));
    }
}
