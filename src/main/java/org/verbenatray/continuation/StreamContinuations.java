package org.verbenatray.continuation;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.backends.BackendEntry;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * Knows the software version at which a stream may be continued: that of the server that sent its first event.
 *
 * <p>While a service runs one version only, every stream has it. Otherwise the instance that relays the first event
 * tells the origin of the stream to its homes, a few instances that all derive from the request id. An instance that is
 * asked to continue a stream of which it does not know the origin asks the homes. Not thread-safe: all calls come from
 * one thread.
 */
public final class StreamContinuations {
    private static final long ASK_INTERVAL_MILLIS = 30;

    /** After this number of questions a home that has not answered is out of reach. */
    private static final int MAX_ASKS = 4;

    private static final Logger log = System.getLogger(StreamContinuations.class.getName());

    private final RecentVersions versions;
    private final BackendDirectory directory;
    private final StreamOrigins origins;

    /** Returns the homes of a stream by request id. */
    private final Function<String, StreamHomes> homes;

    private final BiConsumer<InetSocketAddress, byte[]> sender;
    private final Ticker ticker;
    private final Scheduler scheduler;

    /** The services whose streams this instance has begun. */
    private final Set<String> services = new HashSet<>();

    /** The questions without a result by request id. */
    private final Map<String, OriginQuestion> questions = new HashMap<>();

    /** Where this instance receives datagrams, null while it receives none. */
    private InetSocketAddress ownAddress;

    private StreamContinuations(
            RecentVersions versions,
            BackendDirectory directory,
            Function<String, StreamHomes> homes,
            BiConsumer<InetSocketAddress, byte[]> sender,
            Ticker ticker,
            Scheduler scheduler) {
        this.versions = versions;
        this.directory = directory;
        this.origins = StreamOrigins.empty(ticker);
        this.homes = homes;
        this.sender = sender;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /**
     * Creates an object that knows no origins.
     *
     * @param versions the versions that the services have run recently
     * @param directory the servers
     * @param homes returns the homes of a stream by request id
     * @param sender sends a datagram
     * @param ticker the clock
     * @param scheduler schedules repeated questions
     */
    public static StreamContinuations create(
            RecentVersions versions,
            BackendDirectory directory,
            Function<String, StreamHomes> homes,
            BiConsumer<InetSocketAddress, byte[]> sender,
            Ticker ticker,
            Scheduler scheduler) {
        return new StreamContinuations(versions, directory, homes, sender, ticker, scheduler);
    }

    /** Sets the address where this instance receives datagrams. */
    public void setOwnAddress(InetSocketAddress address) {
        ownAddress = address;
    }

    /**
     * Records that a server sends events of a stream to its caller. Call before the first event is relayed, so that the
     * homes know the origin if this instance ends right after it.
     *
     * @param firstRequestId the id of the attempt that brought the first event
     * @param server the server
     */
    public void recordServer(String firstRequestId, Backend server) {
        BackendEntry entry = server.entry();
        StreamOrigin origin =
                new StreamOrigin(firstRequestId, entry.softwareVersion(), entry.id(), entry.startedMillis());
        boolean mixed = versions.soleVersion(entry.service()).isEmpty();
        services.add(entry.service());
        origins.put(origin, mixed);
        if (mixed) {
            tellHomes(origin);
        }
    }

    /** Tells the homes of all recent streams once a service no longer runs one version only; call regularly. */
    public void tellWhenMixed() {
        if (services.stream().anyMatch(service -> versions.soleVersion(service).isEmpty())) {
            origins.takeUntold().forEach(this::tellHomes);
        }
    }

    /**
     * Finds the version at which a stream may be continued and passes it on, at once or after the homes were asked;
     * empty if it cannot be known, so that the stream must not be continued.
     *
     * @param firstRequestId the id of the attempt that brought the first event; empty if the caller does not name it
     * @param service the service of the stream
     * @param found receives the version
     */
    public void findVersion(Optional<String> firstRequestId, String service, Consumer<Optional<String>> found) {
        Optional<StreamOrigin> known = firstRequestId.flatMap(origins::find);
        if (known.isPresent()) {
            found.accept(versionOf(known.get()));
        } else if (firstRequestId.isEmpty() || ownAddress == null) {
            found.accept(versions.soleVersion(service));
        } else {
            ask(firstRequestId.get(), service, found);
        }
    }

    /** Returns whether a datagram is for {@link #receive}. */
    public static boolean recognizes(byte[] datagram) {
        return OriginMessageCodec.recognizes(datagram);
    }

    /** Handles a datagram of another instance; a malformed one is logged and dropped. */
    public void receive(byte[] datagram) {
        try {
            handle(OriginMessageCodec.decode(datagram));
        } catch (IOException e) {
            Event.named("origin_message_malformed").with("why", e.getMessage()).log(log, Level.WARNING);
        }
    }

    private void handle(OriginMessage message) {
        if (message instanceof OriginMessage.Told told) {
            origins.put(told.origin(), true);
            end(told.requestId(), versionOf(told.origin()));
        } else if (message instanceof OriginMessage.Asked asked) {
            answer(asked);
        } else if (message instanceof OriginMessage.Unknown unknown) {
            handleUnknown(unknown);
        }
    }

    private void answer(OriginMessage.Asked asked) {
        OriginMessage answer = origins.find(asked.requestId())
                .<OriginMessage>map(OriginMessage.Told::new)
                .orElseGet(() -> new OriginMessage.Unknown(
                        asked.requestId(), versions.soleVersion(asked.service()).orElse(""), ownAddress));
        sender.accept(asked.replyTo(), OriginMessageCodec.encode(answer));
    }

    private void handleUnknown(OriginMessage.Unknown unknown) {
        OriginQuestion question = questions.get(unknown.requestId());
        if (question != null && question.recordUnknown(unknown.from(), unknown.soleVersion())) {
            endWithoutOrigin(question);
        }
    }

    /** Asks the homes of a stream for its origin. */
    private void ask(String requestId, String service, Consumer<Optional<String>> found) {
        OriginQuestion open = questions.get(requestId);
        if (open != null) {
            open.addReceiver(found);
            return;
        }
        OriginQuestion question = OriginQuestion.create(requestId, service, homes.apply(requestId), found);
        questions.put(requestId, question);
        askAgain(question);
    }

    /** Asks the homes that have not answered, unless the question has a result or was asked too often. */
    private void askAgain(OriginQuestion question) {
        if (questions.get(question.requestId()) != question) {
            return;
        }
        if (question.allAnswered() || question.countAsk() > MAX_ASKS) {
            endWithoutOrigin(question);
            return;
        }
        byte[] datagram = OriginMessageCodec.encode(
                new OriginMessage.Asked(question.requestId(), question.service(), ownAddress));
        question.unanswered().forEach(home -> sender.accept(home, datagram));
        scheduler.runAt(Deadline.afterMillis(ticker.nanos(), ASK_INTERVAL_MILLIS), () -> askAgain(question));
    }

    /**
     * Ends a question for an origin that no home has told. If most homes do not know it, the service ran one version
     * only when the stream began, which this instance or a home may know. A minority may be cut off from the instance
     * that began the stream.
     */
    private void endWithoutOrigin(OriginQuestion question) {
        Optional<String> version = question.unknownToMajority()
                ? versions.soleVersion(question.service()).or(question::soleVersion)
                : Optional.empty();
        end(question.requestId(), version);
    }

    private void end(String requestId, Optional<String> version) {
        OriginQuestion question = questions.remove(requestId);
        if (question != null) {
            question.end(version);
        }
    }

    private void tellHomes(StreamOrigin origin) {
        byte[] datagram = OriginMessageCodec.encode(new OriginMessage.Told(origin));
        homes.apply(origin.requestId()).others().forEach(home -> sender.accept(home, datagram));
    }

    /**
     * Returns the version of an origin; empty if its server has started again with another version, since it is then
     * not certain which of its starts has sent the events.
     */
    private Optional<String> versionOf(StreamOrigin origin) {
        boolean restartedAtOtherVersion = directory
                .find(origin.serverId())
                .map(Backend::entry)
                .filter(entry -> entry.startedMillis() != origin.startedMillis())
                .filter(entry -> !entry.softwareVersion().equals(origin.softwareVersion()))
                .isPresent();
        return restartedAtOtherVersion ? Optional.empty() : Optional.of(origin.softwareVersion());
    }
}
