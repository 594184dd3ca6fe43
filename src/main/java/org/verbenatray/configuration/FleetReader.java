package org.verbenatray.configuration;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.verbenatray.configuration.FleetConfiguration.CallSpec;
import org.verbenatray.configuration.FleetConfiguration.CustomerSpec;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.configuration.FleetConfiguration.ModelSpec;
import org.verbenatray.configuration.FleetConfiguration.RoleSpec;
import org.verbenatray.configuration.FleetConfiguration.ServerSpec;
import org.verbenatray.configuration.FleetConfiguration.ServiceSpec;
import org.verbenatray.configuration.SourceNode.Mapping;

/** Converts one merged mapping to a typed configuration and collects all problems. */
final class FleetReader {
    private static final Pattern SHA_256 = Pattern.compile("[0-9A-Fa-f]{64}");

    private static final Pattern METHOD = Pattern.compile("GET|HEAD|POST|PUT|PATCH|DELETE");

    private static final Pattern PATH = Pattern.compile("/[A-Za-z0-9._~/-]{0,199}");

    private static final Pattern ANY_TEXT = Pattern.compile(".*", Pattern.DOTALL);

    /** The description of a valid address in messages. */
    private static final String ALLOWED_ADDRESS =
            "a base URI with scheme http or https, host and port: http://10.0.0.7:8080";

    private static final int DEFAULT_PRIORITY = 50;

    private static final int MAX_PRIORITY = 100;

    private static final double MAX_RATE_PER_SECOND = 1e9;

    /** Keeps rates, weights and durations above zero. */
    private static final double MIN_POSITIVE = 0.001;

    /** One day. */
    private static final long MAX_MILLIS = 86_400_000;

    private final List<ConfigurationProblem> problems = new ArrayList<>();

    /** The key of the engine or server that has an address, by lower-case address. */
    private final Map<String, String> keyByAddress = new HashMap<>();

    /** The key of the customer that has an API key, by the SHA-256 of the API key. */
    private final Map<String, String> customerByKeySha256 = new HashMap<>();

    private FleetReader() {}

    /** Returns a reader for one configuration. */
    static FleetReader create() {
        return new FleetReader();
    }

    /** Returns the problems that were found so far. */
    List<ConfigurationProblem> problems() {
        return problems;
    }

    /**
     * Returns the configuration, with default values in place of invalid ones.
     *
     * <p>It is only to be used if {@link #problems()} is empty afterwards.
     */
    FleetConfiguration read(Mapping root) {
        EntryReader reader = EntryReader.create("", root, problems);
        Map<String, ModelSpec> models = entries(reader, "models", this::model);
        Map<String, CustomerSpec> customers = entries(reader, "customers", this::customer);
        Map<String, ServiceSpec> services = entries(reader, "services", this::service);
        Map<String, EngineSpec> engines = entries(reader, "engines", entry -> engine(entry, models.keySet()));
        RoleSpec roles = roles(reader);
        reader.rejectUnknownKeys();
        return new FleetConfiguration(models, customers, services, engines, roles);
    }

    private <T> Map<String, T> entries(EntryReader root, String section, Function<EntryReader, T> read) {
        Map<String, T> entries = new TreeMap<>();
        for (EntryReader.NamedEntry named : root.children(section)) {
            entries.put(named.name(), read.apply(named.reader()));
            named.reader().rejectUnknownKeys();
        }
        return Collections.unmodifiableMap(entries);
    }

    private ModelSpec model(EntryReader entry) {
        return new ModelSpec(
                entry.requiredName("version"),
                entry.names("adapters"),
                (int) entry.integer("priority", 0, MAX_PRIORITY, DEFAULT_PRIORITY),
                entry.names("failureDomains"),
                (int) entry.integer("kvBytesPerToken", 1, 16_777_216, 131_072));
    }

    private CustomerSpec customer(EntryReader entry) {
        String key = entry.requiredText("keySha256", SHA_256, "the SHA-256 of the API key, 64 hexadecimal digits")
                .toLowerCase(Locale.ROOT);
        String other = customerByKeySha256.putIfAbsent(key, entry.path());
        if (other != null && !key.isEmpty()) {
            entry.report("keySha256", "the API key of " + other, "a different API key for each customer");
        }
        return new CustomerSpec(
                key,
                entry.number("weight", MIN_POSITIVE, 1_000, 1),
                entry.number("requestsPerSecond", MIN_POSITIVE, MAX_RATE_PER_SECOND, 100),
                entry.number("tokensPerSecond", MIN_POSITIVE, MAX_RATE_PER_SECOND, 100_000),
                (int) entry.integer("maxOpen", 1, 100_000, 100),
                (int) entry.integer("priority", 0, MAX_PRIORITY, DEFAULT_PRIORITY));
    }

    private ServiceSpec service(EntryReader entry) {
        List<ServerSpec> servers = new ArrayList<>();
        entries(entry, "servers", this::serverByName).forEach((name, server) -> servers.add(server.apply(name)));
        return new ServiceSpec(List.copyOf(servers), calls(entry));
    }

    /** Returns a function that creates the backend server from its name, which the entry itself does not contain. */
    private Function<String, ServerSpec> serverByName(EntryReader entry) {
        String failureDomain = entry.requiredName("failureDomain");
        String address = address(entry);
        return name -> new ServerSpec(name, failureDomain, address);
    }

    private List<CallSpec> calls(EntryReader service) {
        List<CallSpec> calls = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (SourceNode item : service.items("calls", "a list of calls")) {
            if (!(item instanceof Mapping mapping)) {
                String allowed = "a call with method, path and repeatable";
                service.report(item.location(), "calls", item.description(), allowed);
                continue;
            }
            EntryReader entry = EntryReader.create(service.path() + ".calls", mapping, problems);
            CallSpec call = call(entry);
            if (!seen.add(call.method() + " " + call.path())) {
                entry.report("path", call.method() + " " + call.path() + " a second time", "each call once");
            }
            calls.add(call);
        }
        return List.copyOf(calls);
    }

    private CallSpec call(EntryReader entry) {
        String method = entry.requiredText("method", METHOD, "one of GET, HEAD, POST, PUT, PATCH, DELETE");
        String path = entry.requiredText("path", PATH, "a path that starts with / and has no query");
        boolean repeatable = entry.flag("repeatable", false);
        entry.rejectUnknownKeys();
        return new CallSpec(method, path, repeatable);
    }

    private EngineSpec engine(EntryReader entry, Set<String> models) {
        EngineSpec spec = new EngineSpec(
                entry.requiredName("failureDomain"),
                address(entry),
                entry.flag("checksFencing", false),
                entry.names("models"),
                entry.enumConstant("initialRole", EngineRole.class, EngineRole.BOTH),
                entry.number("prefillTokensPerSecond", 1, 100_000_000, 8_000),
                entry.number("decodeStepMillis", MIN_POSITIVE, 60_000, 20),
                entry.number("decodeStepMillisPerStream", 0, 60_000, 0.5),
                (int) entry.integer("maxStreams", 1, 65_536, 64),
                entry.integer("kvTokens", 1, 1_000_000_000_000L, 500_000));
        for (String model : spec.models()) {
            if (!models.contains(model)) {
                entry.report("models", "the unknown model " + model, "models of the section models: " + models);
            }
        }
        return spec;
    }

    /** Reads an address, which has to be unique so that no engine or server is used under two names. */
    private String address(EntryReader entry) {
        String text = entry.requiredText("address", ANY_TEXT, ALLOWED_ADDRESS);
        if (text.isEmpty()) {
            return text;
        }
        if (!isBaseUri(text)) {
            entry.report("address", ConfigurationProblem.quoted(text), ALLOWED_ADDRESS);
            return text;
        }
        String address = text.toLowerCase(Locale.ROOT);
        String other = keyByAddress.putIfAbsent(address, entry.path());
        if (other != null) {
            entry.report("address", "the address of " + other, "a different address for each engine and server");
        }
        return address;
    }

    private static boolean isBaseUri(String text) {
        try {
            URI uri = new URI(text);
            boolean http = "http".equalsIgnoreCase(uri.getScheme()) || "https".equalsIgnoreCase(uri.getScheme());
            boolean bare = uri.getRawPath() != null
                    && uri.getRawPath().isEmpty()
                    && uri.getRawQuery() == null
                    && uri.getRawFragment() == null
                    && uri.getRawUserInfo() == null;
            return http && bare && uri.getHost() != null && uri.getPort() > 0 && uri.getPort() < 65_536;
        } catch (URISyntaxException e) {
            return false;
        }
    }

    private RoleSpec roles(EntryReader root) {
        RoleSpec defaults = RoleSpec.defaults();
        Optional<EntryReader> section = root.child("roles");
        if (section.isEmpty()) {
            return defaults;
        }
        EntryReader entry = section.get();
        RoleSpec roles = new RoleSpec(
                entry.number("changePrice", 0, 1_000_000, defaults.changePrice()),
                entry.integer("changeMillis", 0, MAX_MILLIS, defaults.changeMillis()),
                (int) entry.integer("maxAtOnce", 1, 1_000, defaults.maxAtOnce()),
                entry.integer("shortWindowMillis", 1_000, MAX_MILLIS, defaults.shortWindowMillis()),
                entry.integer("longWindowMillis", 1_000, MAX_MILLIS, defaults.longWindowMillis()));
        entry.rejectUnknownKeys();
        if (roles.shortWindowMillis() >= roles.longWindowMillis()) {
            String allowed = "more than shortWindowMillis, which is " + roles.shortWindowMillis();
            entry.report("longWindowMillis", Long.toString(roles.longWindowMillis()), allowed);
        }
        return roles;
    }
}
