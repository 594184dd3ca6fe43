package org.verbenatray.instance;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.openwork.DatagramPort;
import org.verbenatray.openwork.EngineWork;
import org.verbenatray.openwork.InstanceRoll;
import org.verbenatray.openwork.KeptParts;
import org.verbenatray.openwork.Neighbours;
import org.verbenatray.openwork.SharedWork;
import org.verbenatray.openwork.WorkExchange;
import org.verbenatray.placement.PrefixMemory;
import org.verbenatray.placement.PromptShape;
import org.verbenatray.telemetry.Event;

/** Shares the open work at engines with the other instances; used on one thread. */
final class WorkSharing implements AutoCloseable {
    /** The log. */
    private static final Logger log = System.getLogger(WorkSharing.class.getName());

    /** The settings. */
    private final RelaySettings settings;

    /** The thread. */
    private final RelayLoop loop;

    /** The backend servers. */
    private final BackendDirectory directory;

    /** The other instances. */
    private final Neighbours neighbours;

    /** What they tell. */
    private final SharedWork shared;

    /** What engines are believed to keep. */
    private final PrefixMemory memory;

    /** The exchange, null before the start. */
    private WorkExchange exchange;

    /** The port, null before the start. */
    private DatagramPort port;

    /** The list of instances, null before the start. */
    private InstanceRoll roll;

    /** Creates a sharing that is not started. */
    WorkSharing(RelaySettings settings, RelayLoop loop, BackendDirectory directory, PrefixMemory memory) {
        this.settings = settings;
        this.loop = loop;
        this.directory = directory;
        this.memory = memory;
        this.neighbours = Neighbours.of(settings.name());
        this.shared = SharedWork.create(loop.ticker(), neighbours::weight);
    }

    /**
     * Starts to tell the other instances, which the given log lists, and to hear of them. Without a free port the
     * instance goes on by its own work and what engines state.
     */
    void start(KeyedLog instances) {
        try {
            port = DatagramPort.open(loop.worker(), settings.exchange(), this::received);
        } catch (IOException e) {
            Event.named("work_not_shared")
                    .with("address", settings.exchange())
                    .with("why", e.getMessage())
                    .with("remedy", "check that no other process has the port")
                    .log(log, Level.ERROR);
            return;
        }
        InetSocketAddress address = new InetSocketAddress(settings.exchange().getHostString(), port.number());
        exchange = WorkExchange.start(
                new WorkExchange.Self(settings.name(), System.currentTimeMillis(), this::own),
                neighbours,
                shared,
                port::send,
                loop.ticker(),
                loop.scheduler());
        roll = InstanceRoll.start(instances, settings.name(), address, neighbours, loop.ticker(), loop.scheduler());
    }

    /** Returns the work of the other instances at an engine, by its start. */
    EngineWork others(String boot) {
        return shared.others(boot);
    }

    /** Notes that the work of this instance at a server has changed. */
    void changed(Backend backend) {
        if (exchange != null && backend.entry().stage() != BackendStage.PLAIN) {
            exchange.changed(backend.entry().boot());
        }
    }

    /** Notes that an engine was given a prompt or has processed it. */
    void keeps(Backend backend, PromptShape prompt, boolean processed) {
        if (exchange != null) {
            Map<String, Integer> tokens = new LinkedHashMap<>();
            prompt.parts().forEach(part -> tokens.put(part.id(), part.tokens()));
            exchange.keeps(new KeptParts(backend.entry().boot(), processed, tokens));
        }
    }

    /** Takes this instance off the list. */
    void leave() {
        if (roll != null) {
            roll.leave();
        }
    }

    @Override
    public void close() {
        if (port != null) {
            port.close();
        }
    }

    /** Takes a datagram of another instance. */
    private void received(byte[] datagram) {
        exchange.received(datagram).forEach(kept -> memory.told(kept.boot(), kept.processed(), kept.tokens()));
    }

    /** Returns the work of this instance at each engine where it has some. */
    private Map<String, EngineWork> own() {
        Map<String, EngineWork> work = new LinkedHashMap<>();
        for (Backend backend : directory.all()) {
            if (backend.entry().stage() != BackendStage.PLAIN && !backend.work().equals(EngineWork.NONE)) {
                work.put(backend.entry().boot(), backend.work());
            }
        }
        return work;
    }
}
