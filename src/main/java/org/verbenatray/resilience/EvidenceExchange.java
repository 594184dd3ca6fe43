package org.verbenatray.resilience;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Tells other instances what this one has seen that speaks for or against the parts of prompts under which servers
 * ended, and receives what they have seen: an instance that gets few requests without such a part cannot tell it from
 * an outage by its own requests. Not thread-safe: all calls come from one thread.
 */
public final class EvidenceExchange {
    /** The most statements in one notice, so that it fits a packet. */
    private static final int MAX_STATEMENTS = 8;

    /** The most parts that are told to have succeeded in one notice, so that it fits a packet. */
    private static final int MAX_SUCCEEDED = 6;

    /** The time after which unchanged statements are told again, as datagrams are lost and instances start. */
    private static final long REPEAT_MILLIS = 1_000;

    /** The time for which it is told that requests with a part have run to their end. */
    private static final long TELL_SUCCESS_MILLIS = 1_500;

    private static final Logger log = System.getLogger(EvidenceExchange.class.getName());

    private final String instance;

    private final CrashLedger ledger;

    private final Supplier<Collection<InetSocketAddress>> peers;

    private final BiConsumer<InetSocketAddress, byte[]> sender;

    private final Ticker ticker;

    /** Until when it is told that requests with a part have run to their end, by part; the next ones to tell first. */
    private final Map<String, Deadline> succeeded = new LinkedHashMap<>();

    /** The statements that were told last. */
    private List<PartStatement> told = List.of();

    /** When unchanged statements are told again. */
    private Deadline repeatDue = new Deadline(0);

    /** The blocked parts that were logged. */
    private Set<String> blocked = Set.of();

    private EvidenceExchange(
            String instance,
            CrashLedger ledger,
            Supplier<Collection<InetSocketAddress>> peers,
            BiConsumer<InetSocketAddress, byte[]> sender,
            Ticker ticker) {
        this.instance = instance;
        this.ledger = ledger;
        this.peers = peers;
        this.sender = sender;
        this.ticker = ticker;
    }

    /**
     * Creates an exchange.
     *
     * @param instance the name of this instance
     * @param ledger holds what is known of each part
     * @param peers supplies the instances that are told
     * @param sender sends a datagram to an instance
     * @param ticker the clock
     */
    public static EvidenceExchange create(
            String instance,
            CrashLedger ledger,
            Supplier<Collection<InetSocketAddress>> peers,
            BiConsumer<InetSocketAddress, byte[]> sender,
            Ticker ticker) {
        return new EvidenceExchange(instance, ledger, peers, sender, ticker);
    }

    /** Returns whether a datagram holds a notice. */
    public static boolean recognizes(byte[] datagram) {
        return EvidenceNoticeCodec.recognizes(datagram);
    }

    /** Records that this instance has cleared the suspects of the given crashes; those with few are not told. */
    public void onCleared(Collection<Crash> crashes) {
        Map<String, Long> countBySuspect =
                crashes.stream().collect(Collectors.groupingBy(Crash::suspect, Collectors.counting()));
        Deadline until = Deadline.afterMillis(ticker.nanos(), TELL_SUCCESS_MILLIS);
        countBySuspect.forEach((suspect, count) -> {
            if (PartKey.isPart(suspect) && count >= CrashLedger.CRASHES_TO_STATE) {
                succeeded.put(suspect, until);
            }
        });
    }

    /** Tells the other instances what has changed, and logs which parts are newly blocked; called regularly. */
    public void tell() {
        logBlocked();
        long now = ticker.nanos();
        succeeded.values().removeIf(until -> until.hasPassed(now));
        List<PartStatement> statements =
                ledger.statements().stream().limit(MAX_STATEMENTS).toList();
        boolean isDue = !statements.equals(told) || !statements.isEmpty() && repeatDue.hasPassed(now);
        if (!isDue && succeeded.isEmpty()) {
            return;
        }
        told = statements;
        repeatDue = Deadline.afterMillis(now, REPEAT_MILLIS);
        byte[] notice = EvidenceNoticeCodec.encode(new EvidenceNotice(instance, statements, nextSucceeded()));
        peers.get().forEach(peer -> sender.accept(peer, notice));
    }

    /** Returns some parts with which requests have run to their end, and makes them the last ones to tell again. */
    private List<String> nextSucceeded() {
        List<String> next = succeeded.keySet().stream().limit(MAX_SUCCEEDED).toList();
        next.forEach(part -> succeeded.put(part, succeeded.remove(part)));
        return next;
    }

    /** Takes what another instance tells; a malformed notice is logged and dropped. */
    public void receive(byte[] datagram) {
        try {
            EvidenceNotice notice = EvidenceNoticeCodec.decode(datagram);
            notice.succeeded().stream().filter(PartKey::isPart).forEach(part -> recordSuccess(part, notice.instance()));
            notice.statements().forEach(statement -> ledger.recordStatement(notice.instance(), statement));
        } catch (IOException e) {
            Event.named("evidence_notice_malformed").with("why", e.getMessage()).log(log, Level.WARNING);
        }
    }

    private void recordSuccess(String part, String teller) {
        if (ledger.recordSuccessElsewhere(part)) {
            Event.named("part_cleared")
                    .with("fingerprint", part)
                    .with("by", teller)
                    .log(log, Level.INFO);
        }
    }

    private void logBlocked() {
        Set<String> now = ledger.blockedPartKeys();
        if (now.equals(blocked)) {
            return;
        }
        difference(now, blocked)
                .forEach(part ->
                        CrashEvents.describe("part_blocked", part, ledger).log(log, Level.WARNING));
        difference(blocked, now)
                .forEach(part ->
                        CrashEvents.describe("part_unblocked", part, ledger).log(log, Level.INFO));
        blocked = now;
    }

    private static Set<String> difference(Set<String> parts, Set<String> others) {
        Set<String> difference = new HashSet<>(parts);
        difference.removeAll(others);
        return difference;
    }
}
