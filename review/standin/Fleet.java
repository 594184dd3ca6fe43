import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;

/** What the drivers share: the configuration that the operator writes, and the requests of consumers. */
final class Fleet {
    static final String HOST = "ficu95.example";

    private Fleet() {}

    /** The longest time that a script runs, in milliseconds. */
    private static final long MAX_MILLIS = 115_000;

    /** Status of a case that could not run. */
    private static final int NOT_RUN = 2;

    /** Runs a case and ends the process with its status, or with 2 if the case fails or takes too long. */
    static void exit(Callable<Integer> run) {
        Http.start(() -> {
            try {
                Thread.sleep(MAX_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            System.exit(NOT_RUN);
        });
        try {
            System.exit(run.call());
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(NOT_RUN);
        }
    }

    /** Returns the folder of the project: the first argument of a driver. */
    static Path root(String[] args) {
        return Path.of(args[0]).toAbsolutePath().normalize();
    }

    /** Returns a case's folder: the second argument of a driver. */
    static Path folder(String[] args) {
        return Path.of(args[1]).toAbsolutePath().normalize();
    }

    /** Whether the disruption takes place. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Returns a route to a plain service. */
    static String route(String name, String prefix, String kind, String service, int attempts, long timeoutMillis) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":300,\"priority\":2,\"service\":\"" + service
                + "\",\"maxAttempts\":" + attempts + "}";
    }

    /** Returns a plain service. */
    static String service(String name) {
        return "{\"name\":\"" + name
                + "\",\"healthPath\":\"/health\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}";
    }

    /** Returns a configuration, with the limits of the small site files. */
    static String config(int version, String routes, String services) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000}}";
    }

    /** Returns the headers of a request. */
    static Map<String, String> headers(String id, long deadlineMillis) {
        return Map.of("Host", HOST, "Request-Id", id, "Deadline-Ms", Long.toString(deadlineMillis));
    }
}
