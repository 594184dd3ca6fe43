package org.verbenatray.openwork;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/** Tells the neighbours of this instance's open work as it changes, and confirms it now and then; on one thread. */
public final class WorkExchange {
    /** The time in milliseconds for which changes are gathered into one notice. */
    private static final long GATHER_MILLIS = 2;

    /** The time between two confirmations in milliseconds. */
    private static final long CONFIRM_MILLIS = 300;

    /** The largest number of engines in one notice, so that it fits a packet. */
    private static final int MAX_ENGINES = 16;

    /** The largest number of prompts in one notice, so that it fits a packet; more are left to the engines to tell. */
    private static final int MAX_PROMPTS = 6;

    /** The log. */
    private static final Logger log = System.getLogger(WorkExchange.class.getName());

    /** The name of this instance. */
    private final String instance;

    /** A number that grows with each start of this process. */
    private final long start;

    /** The instances to tell. */
    private final Neighbours neighbours;

    /** What the others tell. */
    private final SharedWork shared;

    /** The work of this instance at each engine where it has some. */
    private final Supplier<Map<String, EngineWork>> own;

    /** Sends a datagram. */
    private final BiConsumer<InetSocketAddress, byte[]> sender;

    /** The clock. */
    private final Ticker ticker;

    /** Runs delayed tasks. */
    private final Scheduler scheduler;

    /** The engines whose work has changed since the last notice. */
    private final Set<String> changed = new LinkedHashSet<>();

    /** The parts of prompts that engines were given since the last notice. */
    private final List<KeptParts> kept = new ArrayList<>();

    /** The number of the next notice. */
    private long sequence;

    /** Whether a notice is due. */
    private boolean due;

    /** Creates an exchange. */
    private WorkExchange(
            Self self,
            Neighbours neighbours,
            SharedWork shared,
            BiConsumer<InetSocketAddress, byte[]> sender,
            Ticker ticker,
            Scheduler scheduler) {
        this.instance = self.instance();
        this.start = self.start();
        this.own = self.work();
        this.neighbours = neighbours;
        this.shared = shared;
        this.sender = sender;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /** Starts an exchange that sends datagrams through the given sender. */
    public static WorkExchange start(
            Self self,
            Neighbours neighbours,
            SharedWork shared,
            BiConsumer<InetSocketAddress, byte[]> sender,
            Ticker ticker,
            Scheduler scheduler) {
        WorkExchange exchange = new WorkExchange(self, neighbours, shared, sender, ticker, scheduler);
        exchange.confirm();
        return exchange;
    }

    /** Notes that the work at an engine has changed. */
    public void changed(String boot) {
        changed.add(boot);
        if (!due) {
            due = true;
            scheduler.runAt(Deadline.afterMillis(ticker.nanos(), GATHER_MILLIS), this::tellChanges);
        }
    }

    /** Notes parts of a prompt that an engine was given or has processed; told with the next change of its work. */
    public void keeps(KeptParts parts) {
        if (kept.size() < MAX_PROMPTS) {
            kept.add(parts);
        }
    }

    /** Takes a datagram of another instance and returns the parts that it says engines keep. */
    public List<KeptParts> received(byte[] datagram) {
        try {
            WorkNotice notice = WorkNoticeCodec.decode(datagram);
            shared.take(notice);
            return notice.kept();
        } catch (IOException e) {
            Event.named("work_notice_malformed").with("why", e.getMessage()).log(log, Level.WARNING);
            return List.of();
        }
    }

    /** Tells what has changed. */
    private void tellChanges() {
        due = false;
        Map<String, EngineWork> present = own.get();
        Map<String, EngineWork> news = new LinkedHashMap<>();
        changed.forEach(boot -> news.put(boot, present.getOrDefault(boot, EngineWork.NONE)));
        changed.clear();
        tell(news);
    }

    /** Confirms all work and does so again later. */
    private void confirm() {
        tell(own.get());
        shared.forget();
        scheduler.runAt(Deadline.afterMillis(ticker.nanos(), CONFIRM_MILLIS), this::confirm);
    }

    /** Sends the work at some engines to all neighbours. */
    private void tell(Map<String, EngineWork> engines) {
        Map<String, EngineWork> part = new LinkedHashMap<>();
        engines.forEach((boot, work) -> {
            part.put(boot, work);
            if (part.size() == MAX_ENGINES) {
                send(part);
                part.clear();
            }
        });
        if (!part.isEmpty()) {
            send(part);
        }
    }

    /** Sends one notice. */
    private void send(Map<String, EngineWork> engines) {
        byte[] datagram =
                WorkNoticeCodec.encode(new WorkNotice(instance, start, sequence++, engines, List.copyOf(kept)));
        kept.clear();
        neighbours.sharing().forEach(address -> sender.accept(address, datagram));
    }

    /**
     * What an instance tells of.
     *
     * @param instance its name
     * @param start a number that grows with each start of its process
     * @param work its work at each engine where it has some, by the start of the engine
     */
    public record Self(String instance, long start, Supplier<Map<String, EngineWork>> work) {}
}
