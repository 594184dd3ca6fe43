package org.verbenatray.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.verbenatray.backends.Backend;
import org.verbenatray.time.Ticker;

/**
 * The stream of one generation on its way to the caller, over all engines that send a part of it: which event may come
 * next, which ones are kept back, and what the caller has. Used on one thread.
 */
final class RelayedStream {
    private final RelayCall call;

    private final Ticker ticker;

    /** Called, before the first event is passed on, with the engine that has sent it. */
    private final Consumer<Backend> onBegun;

    private final EventGaps gaps = new EventGaps();

    /** The order of the events passed on, after those that the caller has received before. */
    private final EventOrder order;

    /** The events at the beginning of the running attempt that are kept back. */
    private LeadingEvents leading = LeadingEvents.passingOn();

    private RelayedStream(RelayCall call, Ticker ticker, Consumer<Backend> onBegun) {
        this.call = call;
        this.ticker = ticker;
        this.onBegun = onBegun;
        this.order = new EventOrder(call.request().lastEventId());
    }

    /** Returns the stream of a call, of which nothing was passed on. */
    static RelayedStream of(RelayCall call, Ticker ticker, Consumer<Backend> onBegun) {
        return new RelayedStream(call, ticker, onBegun);
    }

    /** Prepares for the events of another attempt. */
    void beginAttempt() {
        leading = call.route().repeatable() ? LeadingEvents.keepingBack() : LeadingEvents.passingOn();
    }

    /** Returns whether an event may come next. */
    boolean accepts(StreamEvent event) {
        return order.accepts(event);
    }

    /** Receives the next event, from the given engine. */
    void add(ServerResponseHead head, Backend engine, StreamEvent event) {
        long now = ticker.nanos();
        gaps.record(now);
        call.recordBegun(now);
        relay(head, engine, leading.add(event, now));
    }

    /** Passes events on. */
    void relay(ServerResponseHead head, Backend engine, List<StreamEvent> events) {
        for (StreamEvent event : events) {
            order.record(event);
            if (!call.response().started()) {
                onBegun.accept(engine);
            }
            call.relayEvent(head, event);
        }
    }

    /** Returns the size of the events that are kept back. */
    int keptBytes() {
        return leading.keptBytes();
    }

    /** Returns the events that are kept back, and keeps them no longer. */
    List<StreamEvent> takeKept() {
        return leading.takeAll();
    }

    /** Returns the longest time between two events of the attempt that has ended, once; empty if there were none. */
    OptionalDouble takeLongestGapMillis() {
        return gaps.takeLongestMillis();
    }

    /** Returns the id after which another engine goes on with the stream; empty if it begins the stream. */
    Optional<String> last() {
        return order.last();
    }

    /** Returns the id after which an engine sends the last event once more; empty if that event begins the stream. */
    Optional<String> beforeLast() {
        return order.beforeLast();
    }

    /** Returns the position of the last event; empty if an engine cannot be asked for that event. */
    OptionalLong lastPosition() {
        return order.lastPosition();
    }

    /** Returns whether another engine can go on with the stream. */
    boolean canGoOnElsewhere() {
        return order.canGoOnElsewhere();
    }

    /** Returns whether as many events were passed on as the request allows tokens: each holds one at least. */
    boolean holdsAllTokens() {
        return call.request()
                .prompt()
                .filter(prompt -> order.count() >= prompt.maxOutputTokens())
                .isPresent();
    }
}
