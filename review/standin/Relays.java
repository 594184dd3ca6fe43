import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The project's own program, started as in the deploy file, one process on each of several loopback addresses. */
final class Relays {
    private final Path root;
    private final Path folder;
    private final String store;
    private final Record record;
    private final int frontPort;
    private final int readyPort;
    private final int internalPort;
    private final int metricsPort;
    private final Map<Integer, Process> processes = new LinkedHashMap<>();

    Relays(Path root, String store, Record record) throws IOException {
        this.root = root;
        this.store = store;
        this.record = record;
        this.folder = Files.createTempDirectory("review");
        int[] ports = freePorts(4);
        this.frontPort = ports[0];
        this.readyPort = ports[1];
        this.internalPort = ports[2];
        this.metricsPort = ports[3];
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    static String host(int number) {
        return "127.0.1." + number;
    }

    String front(int number) {
        return host(number) + ":" + frontPort;
    }

    static String name(int number) {
        return "front-" + zone(number) + "-" + number;
    }

    /** Three zones, the machines in turn. */
    static String zone(int number) {
        return List.of("lhr-gulberg", "lhr-johar", "lhr-shahdara").get((number - 1) % 3);
    }

    /** Starts the relay with the command of the deploy file. */
    void start(int number) throws IOException {
        Path settings = folder.resolve("boot-" + number + ".conf");
        Files.writeString(settings, settings(number));
        List<String> command = new ArrayList<>(command());
        command.add("--metrics-port");
        command.add(Integer.toString(metricsPort));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true);
        builder.environment().put("VERBENATRAY_CONFIG", settings.toString());
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(number).toFile()));
        processes.put(number, builder.start());
        record.write("start relay=" + name(number));
    }

    Path log(int number) {
        return folder.resolve("relay-" + number + ".log");
    }

    Process process(int number) {
        return processes.get(number);
    }

    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("the deploy file names no command");
    }

    /** Waits until all relays answer 200 to GET /ready. */
    void awaitReady(long timeoutMillis) throws Exception {
        for (int number : processes.keySet()) {
            long until = System.nanoTime() + timeoutMillis * 1_000_000;
            while (!isReady(number)) {
                if (System.nanoTime() > until) {
                    throw new IOException("relay " + number + " is not ready");
                }
                Thread.sleep(100);
            }
            record.write("ready relay=" + name(number));
        }
    }

    boolean isReady(int number) {
        try {
            return Http.call(host(number) + ":" + readyPort, "GET", "/ready", Map.of("Host", "x"), new byte[0], 1_000)
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private void killAll() {
        processes.values().forEach(Process::destroyForcibly);
    }

    /** Ends all processes that were started, and removes the temporary folder. */
    void stop() throws Exception {
        for (Process process : processes.values()) {
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        }
        if (System.getenv("KEEP_LOGS") != null) {
            return;
        }
        for (File file : folder.toFile().listFiles()) {
            file.delete();
        }
        folder.toFile().delete();
    }

    Path folder() {
        return folder;
    }

    private static int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        List<ServerSocket> sockets = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            ServerSocket socket = new ServerSocket();
            socket.bind(new InetSocketAddress("127.0.1.1", 0));
            ports[index] = socket.getLocalPort();
            sockets.add(socket);
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private String settings(int number) {
        String host = host(number);
        return """
                nodeName=%s
                role=relay
                machineClass=front
                serves=front
                ip=%s
                zone=%s
                region=lahore
                zones.lhr-gulberg=lahore
                zones.lhr-johar=lahore
                zones.lhr-shahdara=lahore
                listen.front=%s:%d
                listen.ready=%s:%d
                internalPorts=%d,%d
                bootstrap=true
                lossCounted=false
                limits.cpuShare=0.75
                limits.cores=1
                limits.memoryMb=430
                limits.maxFds=4100
                limits.linkMbps=1000.0
                limits.diskMb=0
                discovery=platform
                entry=vip
                heartbeatMs=1200
                contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform
                faultTolerance.machines=1
                faultTolerance.zones=1
                faultTolerance.regions=0
                bounds.seedLagS=3
                bounds.reuseAfterS=2
                bounds.contactMs=3000
                bounds.ackMs=4000
                bounds.catchUpS=4
                bounds.drainMs=2000
                bounds.graceS=8
                bounds.lossSlackMs=200
                bounds.configApplyMs=2000
                bounds.rollbackSlackMs=250
                bounds.maxStretchMs=5000
                bounds.budgetRatio=0.2
                bounds.budgetWindowS=10
                bounds.budgetExtra=52
                bounds.recoverS=12
                bounds.transitMs=120
                bounds.reuseWindowS=10
                bounds.fencingEnforced=false
                bounds.leaseMs=3000
                bounds.thawMs=300
                platform.address=%s
                platform.form=log
                platform.writesPerS=400
                platform.readsPerS=2000
                platform.parts=16
                platform.appendMs=3.0
                platform.partitionMbS=20.0
                platform.readMbS=80.0
                platform.recordBytes=262144
                platform.callBytes=2097152
                platform.keep_s=300
                platform.partMb=200
                platform.ttlMinMs=1000
                """
                .formatted(
                        name(number), host, zone(number), host, frontPort, host, readyPort, internalPort,
                        internalPort + 15, store);
    }
}
