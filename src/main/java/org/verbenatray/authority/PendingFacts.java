package org.verbenatray.authority;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The facts that the holder of a lease wants to state, oldest first. Used on one thread. */
final class PendingFacts {
    private final Deque<PendingFact> facts = new ArrayDeque<>();

    /** Adds a fact; the result is true once the log has it, false when the lease is lost before that is known. */
    CompletableFuture<Boolean> add(String fact) {
        PendingFact pending = new PendingFact(fact, new CompletableFuture<>());
        facts.add(pending);
        return pending.stated();
    }

    /** Returns the oldest fact. */
    Optional<String> oldest() {
        return Optional.ofNullable(facts.peek()).map(PendingFact::text);
    }

    /** Records that the log has a fact. */
    void confirm(String fact) {
        if (oldest().filter(fact::equals).isPresent()) {
            facts.poll().stated().complete(true);
        }
    }

    /** Gives all facts up. */
    void failAll() {
        List<PendingFact> failed = List.copyOf(facts);
        facts.clear();
        failed.forEach(pending -> pending.stated().complete(false));
    }

    /** A fact and the result of stating it. */
    private record PendingFact(String text, CompletableFuture<Boolean> stated) {}
}
