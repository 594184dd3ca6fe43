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

/** Reads the merged mapping into a typed configuration and collects everything that breaks a rule. */
final class FleetReader {
    /** The form of a SHA-256. */
    private static final Pattern SHA_256 = Pattern.compile("[0-9A-Fa-f]{64}");

    /** The HTTP methods of calls. */
    private static final Pattern METHOD = Pattern.compile("GET|HEAD|POST|PUT|PATCH|DELETE");

    /** The form of a path prefix. */
    private static final Pattern PATH = Pattern.compile("/[A-Za-z0-9._~/-]{0,199}");

    /** The form of any text. */
    private static final Pattern ANY = Pattern.compile(".*", Pattern.DOTALL);

    /** The allowed form of an address. */
    private static final String ADDRESS = "a base URI with scheme http or https, host and port: http://10.0.0.7:8080";

    /** The priority of models and customers that state none. */
    private static final int DEFAULT_PRIORITY = 50;

    /** The largest priority. */
    private static final int MAX_PRIORITY = 100;

    /** The largest rate per second. */
    private static final double MAX_RATE = 1e9;

    /** The smallest rate or weight, so that none is zero. */
    private static final double MIN_RATE = 0.001;

    /** The largest time of a role change or window in milliseconds. */
    private static final long MAX_MILLIS = 86_400_000;

    /** What is wrong so far. */
    private final List<ConfigurationProblem> problems = new ArrayList<>();

    /** The key that uses an address, by address. */
    private final Map<String, String> keyByAddress = new HashMap<>();

    /** The customer that uses an API key, by the key's SHA-256. */
    private final Map<String, String> customerByKey = new HashMap<>();

    /** Creates a reader. */
    private FleetReader() {}

    /** Returns a reader for one configuration. */
    static FleetReader create() {
        return new FleetReader();
    }

    /** Returns what was wrong. */
    List<ConfigurationProblem> problems() {
        return problems;
    }

    /** Reads the configuration. */
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

    /** Reads the named entries of one section. */
    private <T> Map<String, T> entries(EntryReader root, String section, Function<EntryReader, T> read) {
        Map<String, T> entries = new TreeMap<>();
        for (EntryReader.Named named : root.children(section)) {
            entries.put(named.name(), read.apply(named.reader()));
            named.reader().rejectUnknownKeys();
        }
        return Collections.unmodifiableMap(entries);
    }

    /** Reads a model. */
    private ModelSpec model(EntryReader entry) {
        return new ModelSpec(
                entry.requiredName("version"),
                entry.names("adapters"),
                (int) entry.integer("priority", 0, MAX_PRIORITY, DEFAULT_PRIORITY),
                entry.names("failureDomains"),
                (int) entry.integer("kvBytesPerToken", 1, 16_777_216, 131_072));
    }

    /** Reads a customer. */
    private CustomerSpec customer(EntryReader entry) {
        String key = entry.requiredText("keySha256", SHA_256, "the SHA-256 of the API key, 64 hexadecimal digits")
                .toLowerCase(Locale.ROOT);
        String other = customerByKey.putIfAbsent(key, entry.path());
        if (other != null && !key.isEmpty()) {
            entry.report("keySha256", "the API key of " + other, "a different API key for each customer");
        }
        return new CustomerSpec(
                key,
                entry.number("weight", MIN_RATE, 1_000, 1),
                entry.number("requestsPerSecond", MIN_RATE, MAX_RATE, 100),
                entry.number("tokensPerSecond", MIN_RATE, MAX_RATE, 100_000),
                (int) entry.integer("maxOpen", 1, 100_000, 100),
                (int) entry.integer("priority", 0, MAX_PRIORITY, DEFAULT_PRIORITY));
    }

    /** Reads a service. */
    private ServiceSpec service(EntryReader entry) {
        List<ServerSpec> servers = new ArrayList<>();
        entries(entry, "servers", this::serverOfName).forEach((name, server) -> servers.add(server.apply(name)));
        return new ServiceSpec(List.copyOf(servers), calls(entry));
    }

    /** Reads a backend server whose name is still to be given. */
    private Function<String, ServerSpec> serverOfName(EntryReader entry) {
        String failureDomain = entry.requiredName("failureDomain");
        String address = address(entry);
        return name -> new ServerSpec(name, failureDomain, address);
    }

    /** Reads the calls of a service. */
    private List<CallSpec> calls(EntryReader service) {
        List<CallSpec> calls = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (SourceNode item : service.items("calls", "a list of calls")) {
            if (!(item instanceof Mapping mapping)) {
                String allowed = "a call with method, path and repeatable";
                service.report(item.place(), "calls", item.described(), allowed);
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

    /** Reads a call. */
    private CallSpec call(EntryReader entry) {
        String method = entry.requiredText("method", METHOD, "one of GET, HEAD, POST, PUT, PATCH, DELETE");
        String path = entry.requiredText("path", PATH, "a path that starts with / and has no query");
        boolean repeatable = entry.flag("repeatable", false);
        entry.rejectUnknownKeys();
        return new CallSpec(method, path, repeatable);
    }

    /** Reads an engine. */
    private EngineSpec engine(EntryReader entry, Set<String> models) {
        EngineSpec spec = new EngineSpec(
                entry.requiredName("failureDomain"),
                address(entry),
                entry.flag("checksFencing", false),
                entry.names("models"),
                entry.constant("initialRole", EngineRole.class, EngineRole.BOTH),
                entry.number("prefillTokensPerSecond", 1, 100_000_000, 8_000),
                entry.number("decodeStepMillis", MIN_RATE, 60_000, 20),
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

    /** Reads an address that no other engine or server has, so that none is driven under two names. */
    private String address(EntryReader entry) {
        String text = entry.requiredText("address", ANY, ADDRESS);
        if (text.isEmpty()) {
            return text;
        }
        if (!isBaseUri(text)) {
            entry.report("address", ConfigurationProblem.quoted(text), ADDRESS);
            return text;
        }
        String address = text.toLowerCase(Locale.ROOT);
        String other = keyByAddress.putIfAbsent(address, entry.path());
        if (other != null) {
            entry.report("address", "the address of " + other, "a different address for each engine and server");
        }
        return address;
    }

    /** Returns whether a text is a base URI. */
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

    /** Reads the price and bounds of role changes. */
    private RoleSpec roles(EntryReader root) {
        RoleSpec absent = RoleSpec.defaults();
        Optional<EntryReader> section = root.child("roles");
        if (section.isEmpty()) {
            return absent;
        }
        EntryReader entry = section.get();
        RoleSpec roles = new RoleSpec(
                entry.number("changePrice", 0, 1_000_000, absent.changePrice()),
                entry.integer("changeMillis", 0, MAX_MILLIS, absent.changeMillis()),
                (int) entry.integer("maxAtOnce", 1, 1_000, absent.maxAtOnce()),
                entry.integer("shortWindowMillis", 1_000, MAX_MILLIS, absent.shortWindowMillis()),
                entry.integer("longWindowMillis", 1_000, MAX_MILLIS, absent.longWindowMillis()));
        entry.rejectUnknownKeys();
        if (roles.shortWindowMillis() >= roles.longWindowMillis()) {
            String allowed = "more than shortWindowMillis, which is " + roles.shortWindowMillis();
            entry.report("longWindowMillis", Long.toString(roles.longWindowMillis()), allowed);
        }
        return roles;
    }
}
