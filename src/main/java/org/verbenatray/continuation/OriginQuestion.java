package org.verbenatray.continuation;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** A question for the origin of a stream, open until a home knows it or all have answered. Used on one thread. */
final class OriginQuestion {
    private final String requestId;
    private final String service;

    /** The homes that have not answered. */
    private final Set<InetSocketAddress> unanswered;

    private final List<Consumer<Optional<String>>> receivers = new ArrayList<>();

    /** The versions that homes name as the only one of the service. */
    private final Set<String> soleVersions = new LinkedHashSet<>();

    /** The number of homes, of which this instance may be one. */
    private final int homeCount;

    /** The number of times that the question was sent. */
    private int asks;

    private OriginQuestion(String requestId, String service, StreamHomes homes) {
        this.requestId = requestId;
        this.service = service;
        this.unanswered = new LinkedHashSet<>(homes.others());
        this.homeCount = homes.others().size() + (homes.includesSelf() ? 1 : 0);
    }

    /** Creates a question to the homes of a stream; the receiver gets its result. */
    static OriginQuestion create(
            String requestId, String service, StreamHomes homes, Consumer<Optional<String>> receiver) {
        OriginQuestion question = new OriginQuestion(requestId, service, homes);
        question.receivers.add(receiver);
        return question;
    }

    /** Returns the id of the attempt that brought the first event of the stream. */
    String requestId() {
        return requestId;
    }

    /** Returns the service of the stream. */
    String service() {
        return service;
    }

    /** Returns the homes that have not answered. */
    Collection<InetSocketAddress> unanswered() {
        return unanswered;
    }

    /** Returns whether all homes have answered. */
    boolean allAnswered() {
        return unanswered.isEmpty();
    }

    /** Returns whether a majority of the homes does not know the origin. */
    boolean unknownToMajority() {
        return 2 * (homeCount - unanswered.size()) > homeCount;
    }

    /** Counts a sending and returns the number of sendings. */
    int countAsk() {
        return ++asks;
    }

    /** Adds a receiver of the result. */
    void addReceiver(Consumer<Optional<String>> receiver) {
        receivers.add(receiver);
    }

    /** Records that a home does not know the origin, and returns whether all homes have answered now. */
    boolean recordUnknown(InetSocketAddress home, String soleVersion) {
        unanswered.remove(home);
        if (!soleVersion.isEmpty()) {
            soleVersions.add(soleVersion);
        }
        return unanswered.isEmpty();
    }

    /** Returns the version that homes name as the only one of the service; empty if none does or they differ. */
    Optional<String> soleVersion() {
        return soleVersions.size() == 1 ? Optional.of(soleVersions.iterator().next()) : Optional.empty();
    }

    /** Passes the result to all receivers. */
    void end(Optional<String> version) {
        receivers.forEach(receiver -> receiver.accept(version));
    }
}
