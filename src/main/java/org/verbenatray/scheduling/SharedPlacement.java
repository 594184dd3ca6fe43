package org.verbenatray.scheduling;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.openwork.EngineWork;
import org.verbenatray.placement.EnginePlanner;
import org.verbenatray.placement.EngineView;
import org.verbenatray.placement.PrefillPlan;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * Places long prompts through the scheduler of the failure domain, for a fleet too large for each instance to know the
 * work of all others. The scheduler is an instance that all derive from the list; the next one in the order is asked
 * while it is silent, and where none answers an instance places by itself. Nothing is agreed on and nothing is kept: a
 * scheduler that starts knows no work until it has placed some. Used on one thread.
 */
public final class SharedPlacement implements PromptPlacement {
    /** The time for which an answer is awaited, in milliseconds; a small part of the target of a long prompt. */
    private static final long ANSWER_MILLIS = 60;

    /** The time for which a scheduler that has not answered is not asked, in milliseconds. */
    private static final long SILENCE_MILLIS = 1_000;

    /** The number of instances of a domain that are asked one after another as its scheduler. */
    private static final int SCHEDULERS = 2;

    /** The number of tokens from which the scheduler places a prompt; a shorter one takes an engine little time. */
    private static final int MIN_PROMPT_TOKENS = 2_048;

    /** The time between two tellings of the placed work to the schedulers of other domains, in milliseconds. */
    private static final long TELL_MILLIS = 150;

    /** The number of engines whose work fits a datagram. */
    private static final int MAX_ENGINES = 24;

    private static final Logger log = System.getLogger(SharedPlacement.class.getName());

    private final Fleet fleet;

    /** Decides where no scheduler answers, and about short prompts. */
    private final PromptPlacement local;

    private final DomainScheduler domainScheduler;

    private final BackendDirectory directory;

    private final Ticker ticker;

    private final Scheduler timers;

    /** The questions without an answer, by ticket. */
    private final Map<Long, Pending> pending = new HashMap<>();

    /** Until when each scheduler that was silent is not asked, by name. */
    private final Map<String, Deadline> silentUntil = new HashMap<>();

    private long nextTicket = 1;

    /** Whether the last telling named any work, so that the next one has to take it back. */
    private boolean toldWork;

    private SharedPlacement(
            Fleet fleet,
            PromptPlacement local,
            DomainScheduler domainScheduler,
            BackendDirectory directory,
            Ticker ticker,
            Scheduler timers) {
        this.fleet = fleet;
        this.local = local;
        this.domainScheduler = domainScheduler;
        this.directory = directory;
        this.ticker = ticker;
        this.timers = timers;
    }

    /**
     * Creates a placement that asks the schedulers of the fleet, and is one if others ask.
     *
     * @param fleet the other instances
     * @param local decides where no scheduler answers
     * @param directory the engines
     * @param planners creates a planner with a view of the engines, for the work as a scheduler
     * @param ticker the clock
     * @param timers runs tasks at its times
     */
    public static SharedPlacement create(
            Fleet fleet,
            PromptPlacement local,
            BackendDirectory directory,
            Function<EngineView, EnginePlanner> planners,
            Ticker ticker,
            Scheduler timers) {
        DomainScheduler scheduler = DomainScheduler.create(fleet.domain(), directory, planners, ticker);
        return new SharedPlacement(fleet, local, scheduler, directory, ticker, timers);
    }

    /** Returns whether a datagram holds a message of placement. */
    public static boolean recognizes(byte[] datagram) {
        return PlacementCodec.recognizes(datagram);
    }

    @Override
    public void place(
            PromptRequest request, List<Backend> engines, Collection<Backend> tried, Consumer<PlacedPrompt> onPlaced) {
        Optional<String> scheduler = schedulerOf(request, engines);
        if (scheduler.isEmpty()) {
            local.place(request, engines, tried, onPlaced);
            return;
        }
        Prompt prompt = new Prompt(request, engines, tried, onPlaced);
        long ticket = nextTicket++;
        PlacementMessage.Question question = new PlacementMessage.Question(
                fleet.self(), ticket, engines.get(0).entry().service(), request, excluded(engines, tried));
        if (scheduler.get().equals(fleet.self())) {
            follow(answer(question), prompt, fleet.self(), outcome -> endOwn(ticket, outcome));
        } else {
            ask(scheduler.get(), question, prompt);
        }
    }

    /** Returns the instance that would place a prompt now; empty if this one does by what it knows itself. */
    public Optional<String> schedulerOf(PromptRequest request, List<Backend> engines) {
        return applies(request, engines) ? schedulerToAsk() : Optional.empty();
    }

    private boolean applies(PromptRequest request, List<Backend> engines) {
        return request.deferrable()
                && request.prompt().promptTokens() >= MIN_PROMPT_TOKENS
                && fleet.isLarge()
                && engines.stream().anyMatch(engine -> engine.entry().stage() == BackendStage.PREFILL);
    }

    private Optional<String> schedulerToAsk() {
        long now = ticker.nanos();
        silentUntil.values().removeIf(until -> until.hasPassed(now));
        return fleet.schedulers(fleet.domain(), SCHEDULERS).stream()
                .filter(name -> !silentUntil.containsKey(name))
                .findFirst();
    }

    /** Returns the boot ids of the engines that this instance can't use now. */
    private Set<String> excluded(List<Backend> engines, Collection<Backend> tried) {
        long now = ticker.nanos();
        Set<String> excluded =
                tried.stream().map(engine -> engine.entry().bootId()).collect(Collectors.toSet());
        directory.usable(engines.get(0).entry().service()).stream()
                .filter(engine -> engine.paused(now) || !engines.contains(engine))
                .forEach(engine -> excluded.add(engine.entry().bootId()));
        return excluded;
    }

    private void ask(String scheduler, PlacementMessage.Question question, Prompt prompt) {
        Optional<InetSocketAddress> address = fleet.find(scheduler);
        if (address.isEmpty()) {
            placeLocally(prompt);
            return;
        }
        pending.put(question.ticket(), new Pending(scheduler, prompt));
        fleet.send(address.get(), PlacementCodec.encode(question));
        timers.runAt(Deadline.afterMillis(ticker.nanos(), ANSWER_MILLIS), () -> giveUpWaiting(question.ticket()));
    }

    private void giveUpWaiting(long ticket) {
        Pending silent = pending.remove(ticket);
        if (silent == null) {
            return;
        }
        silentUntil.put(silent.scheduler(), Deadline.afterMillis(ticker.nanos(), SILENCE_MILLIS));
        Event.named("scheduler_silent").with("instance", silent.scheduler()).log(log, Level.INFO);
        tellEnd(silent.scheduler(), ticket, PromptOutcome.WITHDRAWN);
        placeLocally(silent.prompt());
    }

    private void placeLocally(Prompt prompt) {
        local.place(prompt.request(), prompt.engines(), prompt.tried(), prompt.onPlaced());
    }

    /** Processes a message of another instance; a malformed one is logged and dropped. */
    public void receive(byte[] datagram) {
        try {
            PlacementMessage message = PlacementCodec.decode(datagram);
            if (message instanceof PlacementMessage.Question question) {
                fleet.find(question.instance())
                        .ifPresent(asker -> fleet.send(asker, PlacementCodec.encode(answer(question))));
            } else if (message instanceof PlacementMessage.Answer answer) {
                receiveAnswer(answer);
            } else if (message instanceof PlacementMessage.End end) {
                domainScheduler.recordEnd(ticketOf(end.instance(), end.ticket()), end.outcome());
            } else if (message instanceof PlacementMessage.Work work) {
                domainScheduler.recordTold(work.instance() + "#" + work.part(), work.work());
            }
        } catch (IOException e) {
            Event.named("placement_message_malformed")
                    .with("why", e.getMessage())
                    .log(log, Level.WARNING);
        }
    }

    private PlacementMessage.Answer answer(PlacementMessage.Question question) {
        String ticket = ticketOf(question.instance(), question.ticket());
        return domainScheduler
                .place(ticket, question.service(), question.request(), question.excluded())
                .map(decision -> answerWith(question, decision))
                .orElse(PlacementMessage.Answer.none(fleet.self(), question.ticket()));
    }

    private PlacementMessage.Answer answerWith(PlacementMessage.Question question, PromptDecision decision) {
        PrefillPlan plan = decision.plan();
        return new PlacementMessage.Answer(
                fleet.self(),
                question.ticket(),
                plan.engine().map(engine -> engine.entry().bootId()),
                plan.handover(),
                plan.fetchFrom().map(engine -> engine.entry().bootId()),
                plan.cachedTokens(),
                plan.work(),
                plan.expectedWaitMillis(),
                plan.expectedFirstTokenMillis(),
                decision.retryAfterMillis());
    }

    private void receiveAnswer(PlacementMessage.Answer answer) {
        Pending answered = pending.remove(answer.ticket());
        if (answered != null) {
            Consumer<PromptOutcome> onEnd = outcome -> tellEnd(answered.scheduler(), answer.ticket(), outcome);
            follow(answer, answered.prompt(), answered.scheduler(), onEnd);
        }
    }

    /** Passes a decision on, or decides here if the engine is not known or not usable here. */
    private void follow(
            PlacementMessage.Answer answer, Prompt prompt, String scheduler, Consumer<PromptOutcome> onEnd) {
        Optional<Backend> engine = answer.boot().flatMap(directory::findBoot).filter(prompt.engines()::contains);
        if (engine.isEmpty()) {
            onEnd.accept(PromptOutcome.WITHDRAWN);
            placeLocally(prompt);
            return;
        }
        PrefillPlan plan = new PrefillPlan(
                engine,
                answer.handover(),
                answer.fetchFrom().flatMap(directory::findBoot),
                answer.cachedTokens(),
                answer.work(),
                answer.waitMillis(),
                answer.firstTokenMillis());
        PromptDecision decision = new PromptDecision(plan, answer.retryAfterMillis());
        prompt.onPlaced().accept(new PlacedPrompt(decision, scheduler, onEnd));
    }

    private void endOwn(long ticket, PromptOutcome outcome) {
        domainScheduler.recordEnd(ticketOf(fleet.self(), ticket), outcome);
    }

    private void tellEnd(String scheduler, long ticket, PromptOutcome outcome) {
        fleet.find(scheduler)
                .ifPresent(address -> fleet.send(
                        address, PlacementCodec.encode(new PlacementMessage.End(fleet.self(), ticket, outcome))));
    }

    /** Forgets an engine that has ended. */
    public void removeEngine(String boot) {
        domainScheduler.removeEngine(boot);
    }

    /** Tells the schedulers of the other domains what this one has placed; returns the time to the next telling. */
    public long tellWork() {
        boolean hasWork = domainScheduler.hasWork();
        if (fleet.isLarge() && (hasWork || toldWork)) {
            domainScheduler.tellWork(MAX_ENGINES, this::tellOthers);
        }
        toldWork = hasWork;
        return TELL_MILLIS;
    }

    private void tellOthers(int part, Map<String, EngineWork> work) {
        byte[] datagram = PlacementCodec.encode(new PlacementMessage.Work(fleet.self(), part, work));
        fleet.otherDomains().stream()
                .flatMap(domain -> fleet.schedulers(domain, 1).stream())
                .flatMap(name -> fleet.find(name).stream())
                .forEach(address -> fleet.send(address, datagram));
    }

    private static String ticketOf(String instance, long ticket) {
        return instance + "#" + ticket;
    }

    /** The other instances, as far as placement needs them. */
    public interface Fleet {
        /** Returns the name of this instance. */
        String self();

        /** Returns the failure domain of this instance. */
        String domain();

        /** Returns whether there are too many instances for each to know the work of all others. */
        boolean isLarge();

        /** Returns the instances that schedule the prompts of a domain, in the order in which they are asked. */
        List<String> schedulers(String domain, int count);

        /** Returns the other failure domains. */
        Set<String> otherDomains();

        /** Returns the address of another instance; empty if it is not listed. */
        Optional<InetSocketAddress> find(String instance);

        /** Sends a datagram. */
        void send(InetSocketAddress to, byte[] datagram);
    }

    /** A prompt to be placed, with the arguments of its placement. */
    private record Prompt(
            PromptRequest request, List<Backend> engines, Collection<Backend> tried, Consumer<PlacedPrompt> onPlaced) {}

    /** A prompt about which a scheduler was asked. */
    private record Pending(String scheduler, Prompt prompt) {}
}
