package org.verbenatray.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import org.verbenatray.instance.EventLoop;
import org.verbenatray.instance.PlatformAdapter;
import org.verbenatray.instance.RelayInstance;
import org.verbenatray.relay.RelayDialect;
import org.verbenatray.relay.RelayMetrics;
import org.verbenatray.settings.FileWatch;
import org.verbenatray.settings.HangupSignal;
import org.verbenatray.settings.SettingsException;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Ticker;

/** Starts relay instances that are connected to the platform: its settings file, its store and its HTTP protocol. */
public final class RelayLauncher {
    /** The topic that holds the operator's configuration. */
    private static final String CONFIGURATION_TOPIC = "keyed.op";

    /** The topic in which backend servers list themselves. */
    private static final String SERVERS_TOPIC = "keyed.servers";

    /** The topic in which the instances of the system list themselves. */
    private static final String INSTANCES_TOPIC = "keyed.instances";

    /** The topic that holds the lease under which one instance sends orders to engines. */
    private static final String LEASE_TOPIC = "stage-lease";

    /** The topic that holds the lease under which one instance does the duties, with what it has decided. */
    private static final String DUTY_LEASE_TOPIC = "duty-lease";

    /** The topic in which instances report requests that crash servers. */
    private static final String CRASH_REPORTS_TOPIC = "keyed.crashes";

    /** The settings of an instance without a reachable store, listening on loopback ports chosen by the OS. */
    private static final String STANDALONE_SETTINGS = """
            nodeName=alone
            zone=alone
            listen.front=127.0.0.1:0
            listen.ready=127.0.0.1:0
            internalPorts=0,0
            platform.address=127.0.0.1:1
            bounds.graceS=1
            bounds.drainMs=1000
            bounds.configApplyMs=1000
            bounds.budgetRatio=0
            bounds.budgetWindowS=10
            """;

    private static final Logger log = System.getLogger(RelayLauncher.class.getName());

    private RelayLauncher() {}

    /**
     * Starts a relay instance with a settings file, which is reloaded when it changes and on SIGHUP.
     *
     * <p>Fails with {@link SettingsException} if a setting is missing or invalid.
     */
    public static RelayInstance start(Path settingsFile, int metricsPort) {
        String text = SettingsFile.read(settingsFile);
        EventLoop loop = EventLoop.start(Ticker.system());
        RelayInstance instance =
                launch(SettingsFile.parse(text).toPlatformSettings(), metricsPort, loop, PlatformProtocol.create());
        FileWatch watch = FileWatch.start(
                settingsFile,
                text,
                changed -> applySettings(instance, changed, metricsPort),
                loop.ticker(),
                loop.scheduler());
        HangupSignal.install(watch::checkNow);
        return instance;
    }

    /** Starts a relay instance on loopback ports chosen by the OS, without a reachable store. */
    public static RelayInstance startStandalone() {
        return launch(
                SettingsFile.parse(STANDALONE_SETTINGS).toPlatformSettings(),
                0,
                EventLoop.start(Ticker.system()),
                PlatformProtocol.create());
    }

    /** Starts a relay instance on a loop, with the given translation of headers and bodies. */
    static RelayInstance launch(PlatformSettings settings, int metricsPort, EventLoop loop, RelayDialect dialect) {
        RelayMetrics metrics = RelayMetrics.create();
        StoreClient store = StoreClient.create(loop, settings.storeUri(), metrics);
        PlatformAdapter adapter = new PlatformAdapter(
                store.keyedTopic(CONFIGURATION_TOPIC),
                CatalogDecoder.create()::decode,
                store.keyedTopic(SERVERS_TOPIC),
                ServerEntryDecoder.create()::decode,
                store.keyedTopic(INSTANCES_TOPIC),
                store.plainTopic(LEASE_TOPIC),
                store.keyedTopic(CRASH_REPORTS_TOPIC),
                store.plainTopic(DUTY_LEASE_TOPIC),
                settings.apiUri().map(uri -> PlatformApiClient.create(loop, uri, metrics)),
                dialect);
        return RelayInstance.start(settings.toRelaySettings(metricsPort), adapter, loop, metrics);
    }

    /** Applies the text of a changed settings file; an instance keeps its previous settings if the text is invalid. */
    static void applySettings(RelayInstance instance, String text, int metricsPort) {
        try {
            instance.applySettings(SettingsFile.parse(text).toPlatformSettings().toRelaySettings(metricsPort));
        } catch (SettingsException e) {
            Event.named("settings_refused").with("why", e.getMessage()).log(log, Level.ERROR);
        }
    }
}
