package org.verbenatray.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.backends.PromptWork;
import org.verbenatray.servers.ConnectionUse;
import org.verbenatray.time.Deadline;
import org.xnio.XnioIoThread;

/** Passes a request to a plain service: one that may be repeated to another server after a failure. */
final class PlainRelay implements ForwardListener {
    /** When a refused caller may come back, in milliseconds. */
    private static final long COME_BACK_MILLIS = 300;

    /** The multiple of the route's target after which a silent server is left for another. */
    private static final long SILENT_TARGETS = 2;

    /** What the relay works with. */
    private final RelayParts parts;

    /** The call. */
    private final RelayCall call;

    /** The servers that were tried. */
    private final List<Backend> tried = new ArrayList<>();

    /** The timer of the deadline. */
    private XnioIoThread.Key timer;

    /** The sending that is open, null without one. */
    private Forward open;

    /** An error of a server that is passed on where nothing better comes. */
    private ForwardOutcome fallback;

    /** Creates a relay. */
    private PlainRelay(RelayParts parts, RelayCall call) {
        this.parts = parts;
        this.call = call;
    }

    /** Starts a call. */
    static void start(RelayParts parts, RelayCall call) {
        PlainRelay relay = new PlainRelay(parts, call);
        call.reply().whenGone(relay::callerLeft);
        relay.timer = parts.thread().executeAfter(relay::expired, call.remainingMillis() + 1, TimeUnit.MILLISECONDS);
        relay.send();
    }

    @Override
    public boolean takesEvents() {
        return false;
    }

    @Override
    public void onEvent(ServerHead head, StreamEvent event) {
        throw new IllegalStateException("a plain answer has no events");
    }

    @Override
    public void onOutcome(ForwardOutcome outcome) {
        Forward ended = open;
        open = null;
        call.tried(ended, outcome, true);
        if (call.over()) {
            return;
        }
        tried.add(ended.backend());
        switch (outcome.kind()) {
            case ANSWERED, STREAM_ENDED -> answered(outcome);
            default -> again(outcome);
        }
    }

    /** Passes an answer on, or tries another server after an error of a call that may be repeated. */
    private void answered(ForwardOutcome outcome) {
        boolean worthAnother = outcome.status() >= 500 && call.route().repeatable();
        if (worthAnother && call.mayTryAgain()) {
            fallback = outcome;
            send();
            return;
        }
        pass(outcome);
    }

    /** Passes an answer on. */
    private void pass(ForwardOutcome outcome) {
        timer.remove();
        call.answer(outcome);
    }

    /** Tries another server, or gives up. */
    private void again(ForwardOutcome outcome) {
        if (call.mayTryAgain()) {
            send();
            return;
        }
        end(outcome.kind().name().toLowerCase(Locale.ROOT));
    }

    /** Sends the request to the best server that was not tried. */
    private void send() {
        if (call.remainingMillis() <= 0) {
            expired();
            return;
        }
        List<Backend> usable = call.usable().stream()
                .filter(backend -> backend.entry().stage() != BackendStage.PREFILL)
                .toList();
        Optional<Backend> chosen =
                parts.chooser().choose(usable, tried, parts.ticker().nanos());
        if (chosen.isEmpty()) {
            end("no_server");
            return;
        }
        boolean repeatable = call.route().repeatable();
        Forwarding how = new Forwarding(
                chosen.get(),
                call.remainingMillis(),
                call.route().priority(),
                false,
                Optional.empty(),
                Optional.empty(),
                call.request().resumeAfter(),
                repeatable ? ConnectionUse.POOLED : ConnectionUse.FRESH);
        open = Forward.send(parts, call.request(), how, PromptWork.NONE, patience(repeatable), this);
    }

    /** Returns how long the server may be silent. */
    private Patience patience(boolean repeatable) {
        boolean another = repeatable && call.usable().size() > tried.size() + 1 && call.couldTryAgain();
        if (!another) {
            return Patience.until(call.deadline());
        }
        long millis =
                Math.min(call.remainingMillis(), SILENT_TARGETS * call.route().targetMillis());
        Deadline first = Deadline.afterMillis(parts.ticker().nanos(), millis);
        return new Patience(first, millis, call.deadline());
    }

    /** Gives up, with a server's error where there is one. */
    private void end(String why) {
        timer.remove();
        if (fallback != null) {
            call.answer(fallback);
            return;
        }
        call.giveUp(why, COME_BACK_MILLIS);
    }

    /** Gives the final answer when the time is over. */
    private void expired() {
        if (call.over()) {
            return;
        }
        if (open != null && open.sent()) {
            call.assumeRun();
        }
        dropOpen();
        end("timeout");
    }

    /** Ends what can be ended when the caller has left. */
    private void callerLeft() {
        timer.remove();
        dropOpen();
        call.abandoned();
    }

    /** Cancels the open sending, unless it is one that must run to its end. */
    private void dropOpen() {
        if (open != null && (call.route().repeatable() || !open.sent())) {
            open.cancel();
            open = null;
        }
    }
}
