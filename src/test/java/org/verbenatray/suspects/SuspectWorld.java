package org.verbenatray.suspects;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Instances, servers, one request that crashes each server that runs it, and innocent ones. Failure domains are cut off
 * from each other and have their own servers, unless the servers are shared.
 */
final class SuspectWorld {
    /** The request that crashes servers. */
    static final Fingerprint POISON = Fingerprint.of("customer", "model", new byte[] {0});

    final Map<Integer, Set<String>> crashesByInstance = new HashMap<>();
    final Set<String> crashes = new HashSet<>();
    int copiesAtFirstCrash;
    int refusals;
    final Set<Fingerprint> refusedNeighbours = new HashSet<>();
    private final Random random;
    private final int domains;
    private final boolean sharedServers;
    private final boolean instantNews;
    private final List<SuspectTable> tables = new ArrayList<>();
    private final List<Request> waiting = new ArrayList<>();
    private final List<Request> barring = new ArrayList<>();
    private final List<Request> running = new ArrayList<>();
    private final Map<String, Integer> incarnations = new HashMap<>();
    private long nowMillis = 1_000_000;
    private int neighbours;

    SuspectWorld(long seed, int instances, int domains, boolean sharedServers, boolean instantNews) {
        this.random = new Random(seed);
        this.domains = domains;
        this.sharedServers = sharedServers;
        this.instantNews = instantNews;
        for (int index = 0; index < instances; index++) {
            tables.add(SuspectTable.create("instance" + index, SuspectLimits.defaults()));
            crashesByInstance.put(index, new HashSet<>());
        }
    }

    void send(Fingerprint fingerprint, int instance) {
        waiting.add(new Request(fingerprint, instance, ""));
    }

    int openNeighbours() {
        return (int) List.of(waiting, barring, running).stream()
                .flatMap(List::stream)
                .filter(request -> !request.fingerprint.equals(POISON))
                .count();
    }

    boolean poisonOpen() {
        return List.of(waiting, barring, running).stream()
                .flatMap(List::stream)
                .anyMatch(request -> request.fingerprint.equals(POISON));
    }

    /** Sends a new innocent request. */
    void sendNeighbour() {
        byte[] body = {1, (byte) neighbours, (byte) (neighbours >> 8)};
        neighbours++;
        send(Fingerprint.of("customer", "model", body), random.nextInt(tables.size()));
    }

    /** Takes one random step: a dispatch, the start of a run alone, an end or crash, or news. */
    void step() {
        nowMillis += 1 + random.nextInt(50);
        int kind = random.nextInt(4);
        if (kind == 0 && !waiting.isEmpty()) {
            dispatch(waiting.remove(random.nextInt(waiting.size())));
        } else if (kind == 1 && !barring.isEmpty()) {
            startWhenAlone(barring.remove(random.nextInt(barring.size())));
        } else if (kind == 2 && !running.isEmpty()) {
            end(running.get(random.nextInt(running.size())));
        } else if (!instantNews) {
            tell(random.nextInt(tables.size()), random.nextInt(tables.size()));
        }
        if (instantNews) {
            tellAll();
        }
    }

    private void dispatch(Request request) {
        SuspectTable table = tables.get(request.instance);
        Quarantine decision = table.decide(request.fingerprint, servers(request.instance), nowMillis);
        if (decision instanceof Quarantine.Refused) {
            refusals++;
            if (!request.fingerprint.equals(POISON)) {
                refusedNeighbours.add(request.fingerprint);
            }
        } else if (decision instanceof Quarantine.Normally normally) {
            Set<String> barred = table.barredServers(nowMillis);
            List<String> free = servers(request.instance).stream()
                    .filter(server -> !barred.contains(server))
                    .toList();
            String server = normally.onlyServer().orElseGet(() -> free.get(random.nextInt(free.size())));
            table.started(request.fingerprint, server);
            running.add(request.on(server));
        } else if (decision instanceof Quarantine.Alone alone) {
            table.bar(request.fingerprint, alone.server(), nowMillis);
            barring.add(request.on(alone.server()));
        } else {
            waiting.add(request);
        }
    }

    private void startWhenAlone(Request request) {
        boolean busy = running.stream().anyMatch(other -> other.server.equals(request.server));
        if (busy) {
            barring.add(request);
            return;
        }
        tables.get(request.instance).started(request.fingerprint, request.server);
        running.add(request);
    }

    private void end(Request request) {
        boolean poisoned = running.stream()
                .anyMatch(other -> other.server.equals(request.server) && other.fingerprint.equals(POISON));
        if (poisoned) {
            crash(request.server);
        } else {
            running.remove(request);
            tables.get(request.instance).finished(request.fingerprint, true, nowMillis);
        }
    }

    private void crash(String server) {
        String incarnation = server + "/" + incarnations.merge(server, 1, Integer::sum);
        if (crashes.isEmpty()) {
            copiesAtFirstCrash = (int) running.stream()
                    .filter(request -> request.fingerprint.equals(POISON))
                    .map(Request::instance)
                    .distinct()
                    .count();
        }
        crashes.add(incarnation);
        List<Request> hit = running.stream()
                .filter(request -> request.server.equals(server))
                .toList();
        hit.stream()
                .filter(request -> request.fingerprint.equals(POISON))
                .forEach(request -> crashesByInstance.get(request.instance).add(incarnation));
        running.removeAll(hit);
        waiting.addAll(hit);
        tables.forEach(table -> table.crashed(server, incarnation, nowMillis));
    }

    private void tellAll() {
        for (int from = 0; from < tables.size(); from++) {
            for (int to = 0; to < tables.size(); to++) {
                tell(from, to);
            }
        }
    }

    private void tell(int from, int to) {
        if (from % domains == to % domains) {
            tables.get(to).merge(tables.get(from).digest(), nowMillis);
        }
    }

    private List<String> servers(int instance) {
        String domain = sharedServers ? "" : "domain" + instance % domains;
        return List.of(domain + "s1", domain + "s2", domain + "s3", domain + "s4");
    }

    /** A request on its way. */
    private record Request(Fingerprint fingerprint, int instance, String server) {
        Request on(String chosen) {
            return new Request(fingerprint, instance, chosen);
        }
    }
}
