package org.verbenatray.limits;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * Keeps the limits that servers state: the requests a second that a server takes from all instances together.
 *
 * <p>A few instances share the rate of each server and report to one another how many requests they have sent to it;
 * the others send theirs elsewhere while the limit lasts. What a server states is passed on from instance to instance
 * with its age, and the newest statement counts. Not thread-safe: all calls come from one thread.
 */
public final class ServerLimits {
    /** Time for which reports are collected into one notice. */
    private static final long BATCH_MILLIS = 3;

    /** The same for servers with large limits, where some requests more or less matter little. */
    private static final long LARGE_LIMIT_BATCH_MILLIS = 200;

    /** Limit in requests a second from which on it is large. */
    private static final double LARGE_LIMIT = 50;

    /** Time between two notices to the sharers of a server, which correct what they assume of this instance. */
    private static final long CONFIRMATION_INTERVAL_MILLIS = 500;

    /** Number of confirmations after which some statements are passed on to the peers again. */
    private static final int CONFIRMATIONS_PER_REPETITION = 10;

    /** Number of statements passed on then, which bounds the notices; each has its turn. */
    private static final int STATEMENTS_PER_REPETITION = 16;

    /** Age from which on an instance that is no sharer ignores a statement, as its end may have been lost. */
    private static final long MAX_AGE_MILLIS = 60_000;

    /** Age from which on every instance ignores a statement: nobody has had an answer of the server for so long. */
    private static final long MAX_SHARER_AGE_MILLIS = 120_000;

    /** Largest additional age, so that not all instances try the server at the same time. */
    private static final long MAX_AGE_SPREAD_MILLIS = 30_000;

    /** Largest number of reports in one notice, so that it fits a packet. */
    private static final int MAX_REPORTS = 16;

    private static final Logger log = System.getLogger(ServerLimits.class.getName());

    private final String instance;

    private final long incarnation;

    private final SharersOfServer sharers;

    /** Supplies the instances to which news are passed on. */
    private final Supplier<Collection<InetSocketAddress>> peers;

    private final BiConsumer<InetSocketAddress, byte[]> sender;

    private final Ticker ticker;

    private final Scheduler scheduler;

    /** The newest statement by boot id, of servers that state a limit or have lately ended one. */
    private final Map<String, LimitStatement> statements = new HashMap<>();

    /** The bucket of each server that states a limit, by boot id. */
    private final Map<String, SharedRate> rates = new HashMap<>();

    /** The servers whose answers to status calls have stated a limit, by boot id. */
    private final Set<String> namedInStatus = new HashSet<>();

    /** The reports for the next notices, by address. */
    private final Map<InetSocketAddress, Set<String>> pending = new HashMap<>();

    /** Spaces the retries of rejected callers, by service. */
    private final Map<String, RetrySpacing> retries = new HashMap<>();

    /** When the pending reports are sent, null if there are none. */
    private Deadline pendingDue;

    private int confirmations;

    /** Index of the statement to pass on next, in the order of the boot ids. */
    private int nextRepeated;

    private ServerLimits(
            Sender self,
            SharersOfServer sharers,
            Supplier<Collection<InetSocketAddress>> peers,
            Ticker ticker,
            Scheduler scheduler) {
        this.instance = self.instance();
        this.incarnation = self.incarnation();
        this.sender = self.send();
        this.sharers = sharers;
        this.peers = peers;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /**
     * Creates an object that knows no limits.
     *
     * @param self this instance as the sender of notices
     * @param sharers returns the instances that share the rate of a server
     * @param peers supplies the instances to which news are passed on
     */
    public static ServerLimits create(
            Sender self,
            SharersOfServer sharers,
            Supplier<Collection<InetSocketAddress>> peers,
            Ticker ticker,
            Scheduler scheduler) {
        return new ServerLimits(self, sharers, peers, ticker, scheduler);
    }

    /** Returns whether a request may be sent to a server now, as far as its limit is concerned. */
    public boolean admits(String boot) {
        SharedRate rate = rates.get(boot);
        return rate == null || rate.admits(ticker.nanos());
    }

    /** Returns the limit that a server states, in requests a second. */
    public OptionalDouble requestsPerSecond(String boot) {
        return rates.containsKey(boot) ? statements.get(boot).requestsPerSecond() : OptionalDouble.empty();
    }

    /** Records that a request is sent to a server. */
    public void recordSending(String boot) {
        SharedRate rate = rates.get(boot);
        if (rate != null) {
            rate.recordSending(ticker.nanos());
            boolean large = statements.get(boot).requestsPerSecond().orElse(0) >= LARGE_LIMIT;
            reportToSharers(rate, boot, large ? LARGE_LIMIT_BATCH_MILLIS : BATCH_MILLIS);
        }
    }

    /**
     * Records what the answer to a request of a caller states.
     *
     * @param requestsPerSecond the limit; empty if the answer states none, which ends it
     */
    public void recordAnswer(String boot, OptionalDouble requestsPerSecond) {
        if (requestsPerSecond.isPresent() || rates.containsKey(boot)) {
            recordOwn(boot, requestsPerSecond);
        }
    }

    /**
     * Records what the answer to a status call states. A server may state its limit in other answers only, so one
     * without a limit ends it only if status answers of this start of the server have stated it.
     */
    public void recordStatusAnswer(String boot, OptionalDouble requestsPerSecond) {
        if (requestsPerSecond.isPresent()) {
            namedInStatus.add(boot);
            recordOwn(boot, requestsPerSecond);
        } else if (rates.containsKey(boot) && namedInStatus.contains(boot)) {
            recordOwn(boot, requestsPerSecond);
        }
    }

    /** Removes all that is known of a start of a server, which has ended. */
    public void remove(String boot) {
        statements.remove(boot);
        rates.remove(boot);
        namedInStatus.remove(boot);
    }

    /**
     * Returns after how many milliseconds a caller should come back for whom no server has room: one after the other,
     * at the rate that this instance may use.
     *
     * @param service the service
     * @param boots its servers, all of which state a limit
     */
    public long retryAfterMillis(String service, Collection<String> boots) {
        long now = ticker.nanos();
        double rate = 0;
        long waitMillis = Long.MAX_VALUE;
        for (String boot : boots) {
            SharedRate shared = rates.get(boot);
            if (shared != null && shared.sharers().self()) {
                rate += shared.expectedRate();
                waitMillis = Math.min(waitMillis, shared.millisUntilAdmission(now));
            }
        }
        return retries.computeIfAbsent(service, name -> new RetrySpacing()).next(now, waitMillis, rate);
    }

    /** Returns whether a datagram is for {@link #receive}. */
    public static boolean recognizes(byte[] datagram) {
        return LimitNoticeCodec.recognizes(datagram);
    }

    /** Handles a notice of another instance; a malformed one is logged and dropped. */
    public void receive(byte[] datagram) {
        try {
            LimitNotice notice = LimitNoticeCodec.decode(datagram);
            notice.reports().forEach(report -> receive(notice, report));
        } catch (IOException e) {
            Event.named("limit_notice_malformed").with("why", e.getMessage()).log(log, Level.WARNING);
        }
    }

    private void receive(LimitNotice notice, LimitNotice.Report report) {
        long now = ticker.nanos();
        LimitStatement reported = new LimitStatement(report.requestsPerSecond(), now - report.ageMillis() * 1_000_000);
        LimitStatement known = statements.get(report.boot());
        if (!isExpired(report.boot(), reported, now) && (known == null || reported.atNanos() - known.atNanos() > 0)) {
            apply(report.boot(), reported, notice.instance());
        }
        SharedRate rate = rates.get(report.boot());
        if (rate != null) {
            rate.recordReport(notice.instance(), notice.incarnation(), report.sent(), now);
        }
    }

    private void recordOwn(String boot, OptionalDouble requestsPerSecond) {
        apply(boot, new LimitStatement(requestsPerSecond, ticker.nanos()), instance);
    }

    /** Applies a statement that is newer than the known one, and passes it on if it changes much. */
    private void apply(String boot, LimitStatement statement, String source) {
        LimitStatement known = statements.put(boot, statement);
        setRate(boot, statement.requestsPerSecond());
        boolean changed = known == null ? statement.requestsPerSecond().isPresent() : statement.differsNotably(known);
        if (changed) {
            logChange(boot, statement, source);
            scheduleReport(peers.get(), boot, BATCH_MILLIS);
            Optional.ofNullable(rates.get(boot)).ifPresent(rate -> reportToSharers(rate, boot, BATCH_MILLIS));
        }
    }

    private void setRate(String boot, OptionalDouble requestsPerSecond) {
        long now = ticker.nanos();
        if (requestsPerSecond.isEmpty()) {
            rates.remove(boot);
            return;
        }
        SharedRate rate = rates.get(boot);
        if (rate == null) {
            rates.put(boot, new SharedRate(requestsPerSecond.getAsDouble(), sharersOf(boot), now));
        } else {
            rate.setRequestsPerSecond(requestsPerSecond.getAsDouble(), now);
        }
    }

    /** Starts to confirm to the other instances what this one knows. */
    public void startConfirming() {
        confirm();
    }

    /** Reports to all sharers what this instance has sent, passes statements on again, and drops the oldest ones. */
    private void confirm() {
        long now = ticker.nanos();
        List.copyOf(statements.keySet()).forEach(boot -> removeExpired(boot, now));
        rates.forEach((boot, rate) -> {
            rate.setSharers(sharersOf(boot), now);
            reportToSharers(rate, boot, BATCH_MILLIS);
        });
        confirmations++;
        if (confirmations % CONFIRMATIONS_PER_REPETITION == 0) {
            repeatStatements();
        }
        scheduler.runAt(Deadline.afterMillis(now, CONFIRMATION_INTERVAL_MILLIS), this::confirm);
    }

    private void removeExpired(String boot, long now) {
        if (isExpired(boot, statements.get(boot), now)) {
            statements.remove(boot);
            rates.remove(boot);
        }
    }

    /** Returns whether a statement is too old to be used. */
    private boolean isExpired(String boot, LimitStatement statement, long now) {
        SharedRate rate = rates.get(boot);
        boolean shares = rate != null && rate.sharers().self();
        long spreadMillis = Math.floorMod((instance + boot).hashCode(), MAX_AGE_SPREAD_MILLIS);
        long maxAgeMillis = shares ? MAX_SHARER_AGE_MILLIS : MAX_AGE_MILLIS + spreadMillis;
        return Deadline.afterMillis(statement.atNanos(), maxAgeMillis).hasPassed(now);
    }

    private LimitSharers sharersOf(String boot) {
        return sharers.find(boot, statements.get(boot).requestsPerSecond().orElse(0));
    }

    /** Passes some statements on to the peers again, each in its turn. */
    private void repeatStatements() {
        List<String> boots = new ArrayList<>(rates.keySet());
        Collections.sort(boots);
        for (int count = 0; count < Math.min(STATEMENTS_PER_REPETITION, boots.size()); count++) {
            scheduleReport(peers.get(), boots.get(nextRepeated % boots.size()), BATCH_MILLIS);
            nextRepeated = (nextRepeated + 1) % boots.size();
        }
    }

    private void reportToSharers(SharedRate rate, String boot, long delayMillis) {
        if (rate.sharers().self()) {
            scheduleReport(rate.sharers().others().values(), boot, delayMillis);
        }
    }

    /** Schedules a report on a server to the given instances. */
    private void scheduleReport(Collection<InetSocketAddress> addresses, String boot, long delayMillis) {
        if (addresses.isEmpty()) {
            return;
        }
        Deadline due = Deadline.afterMillis(ticker.nanos(), delayMillis);
        if (pendingDue == null || pendingDue.atNanos() - due.atNanos() > 0) {
            pendingDue = due;
            scheduler.runAt(due, this::sendPending);
        }
        addresses.forEach(address ->
                pending.computeIfAbsent(address, key -> new HashSet<>()).add(boot));
    }

    private void sendPending() {
        Map<InetSocketAddress, Set<String>> reports = new HashMap<>(pending);
        pending.clear();
        pendingDue = null;
        reports.forEach(this::send);
    }

    private void send(InetSocketAddress address, Set<String> boots) {
        List<LimitNotice.Report> batch = new ArrayList<>();
        for (String boot : boots) {
            report(boot).ifPresent(batch::add);
            if (batch.size() == MAX_REPORTS) {
                sender.accept(address, encode(batch));
                batch.clear();
            }
        }
        if (!batch.isEmpty()) {
            sender.accept(address, encode(batch));
        }
    }

    private byte[] encode(List<LimitNotice.Report> reports) {
        return LimitNoticeCodec.encode(new LimitNotice(instance, incarnation, reports));
    }

    private Optional<LimitNotice.Report> report(String boot) {
        LimitStatement statement = statements.get(boot);
        if (statement == null) {
            return Optional.empty();
        }
        long ageMillis = Math.max(0, (ticker.nanos() - statement.atNanos()) / 1_000_000);
        long sent = Optional.ofNullable(rates.get(boot)).map(SharedRate::sent).orElse(0L);
        return Optional.of(new LimitNotice.Report(boot, statement.requestsPerSecond(), ageMillis, sent));
    }

    private void logChange(String boot, LimitStatement statement, String source) {
        Event event = Event.named(statement.requestsPerSecond().isPresent() ? "limit_stated" : "limit_ended")
                .with("backend", boot)
                .with("from", source);
        statement.requestsPerSecond().ifPresent(rate -> event.with("requests_per_second", rate));
        Optional.ofNullable(rates.get(boot))
                .ifPresent(rate -> event.with("sharers", rate.sharers().count())
                        .with("shares", rate.sharers().self()));
        event.log(log, Level.INFO);
    }

    /** Finds the instances that share the rate of a server. */
    @FunctionalInterface
    public interface SharersOfServer {
        /** Returns the sharers of a server with the given boot id and limit. */
        LimitSharers find(String boot, double requestsPerSecond);
    }

    /**
     * This instance as the sender of notices.
     *
     * @param instance the name of the instance
     * @param incarnation a number that increases with each start of its process
     * @param send sends a datagram to another instance
     */
    public record Sender(String instance, long incarnation, BiConsumer<InetSocketAddress, byte[]> send) {}
}
