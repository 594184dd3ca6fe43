package org.verbenatray.serving;

import com.google.common.hash.Hashing;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.configuration.FleetConfiguration.CustomerSpec;

/** Authenticates the customer of a request by its API key. */
final class CustomerAuthenticator implements PipelineStep<CallerRequest, CallerRequest> {
    /** The scheme of the Authorization header, with the space that follows it. */
    private static final String SCHEME = "Bearer ";

    private final Supplier<ActiveConfiguration> configuration;

    /** The index of the configuration that was used last; replaced as a whole. */
    private volatile CustomersByKey customers = new CustomersByKey(null, Map.of());

    CustomerAuthenticator(Supplier<ActiveConfiguration> configuration) {
        this.configuration = configuration;
    }

    @Override
    public CallerRequest apply(CallerRequest request) {
        ActiveConfiguration active = configuration.get();
        if (active.offset() < 0) {
            throw new RefusalException(Refusal.retryLater(
                    RefusalKind.NOT_READY, "no configuration has been read yet; send the request again", 1_000));
        }
        String header = request.headers().getFirst(Headers.AUTHORIZATION);
        if (header == null || !header.startsWith(SCHEME)) {
            throw unauthenticated("the API key is missing; send the header Authorization: Bearer KEY");
        }
        String keyHash = Hashing.sha256()
                .hashString(header.substring(SCHEME.length()).strip(), StandardCharsets.UTF_8)
                .toString();
        String name = customersOf(active).names().get(keyHash);
        if (name == null) {
            throw unauthenticated("the API key is unknown; ask the operators for a key of this deployment");
        }
        CustomerSpec spec = active.fleet().customers().get(name);
        return request.withCustomer(name, spec);
    }

    /** Returns the index of a configuration; builds it when the configuration has changed. */
    private CustomersByKey customersOf(ActiveConfiguration active) {
        CustomersByKey current = customers;
        if (current.source() == active) {
            return current;
        }
        CustomersByKey updated = CustomersByKey.of(active);
        customers = updated;
        return updated;
    }

    /** Returns the refusal of a request without a valid API key. */
    private static RefusalException unauthenticated(String message) {
        return new RefusalException(Refusal.notRun(RefusalKind.UNAUTHENTICATED, message));
    }

    /**
     * The names of customers by the hash of their API key.
     *
     * @param source the configuration that defines the customers
     * @param names the names by SHA-256 hash in lower-case hexadecimal
     */
    private record CustomersByKey(ActiveConfiguration source, Map<String, String> names) {
        /** Returns the index of a configuration. */
        static CustomersByKey of(ActiveConfiguration active) {
            Map<String, String> names = new HashMap<>();
            active.fleet()
                    .customers()
                    .forEach((name, spec) -> names.put(spec.keySha256().toLowerCase(Locale.ROOT), name));
            return new CustomersByKey(active, Map.copyOf(names));
        }
    }
}
