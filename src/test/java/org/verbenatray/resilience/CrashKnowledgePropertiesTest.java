package org.verbenatray.resilience;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.testng.Assert;
import org.verbenatray.log.FakeKeyedLog;
import org.verbenatray.state.RetryPacer;
import org.verbenatray.state.UnsharedReads;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.ManualTime;

/**
 * A request that ends each server which runs it comes again at any of several instances, while the log is away or drops
 * its history, notices are lost and instances are replaced. The rule: no more than three sendings by instances in touch
 * later than the contact time after the third end.
 */
public final class CrashKnowledgePropertiesTest {
    private static final int INSTANCES = 5;
    private static final int STEPS = 600;
    private static final long STEP_MILLIS = 100;
    private static final long CONTACT_STEPS = 30;

    /** The time in which notices reach all instances although some are lost. */
    private static final long SPREAD_STEPS = 20;

    @Property(tries = 300, seed = "18")
    void afterTheThirdEndFewSendingsFollow(@ForAll long seed) {
        Simulation simulation = play(new Simulation(new Random(seed), true));
        Assert.assertTrue(simulation.lateSendings <= 3, "late sendings: " + simulation.lateSendings);
    }

    @Property(tries = 300, seed = "18")
    void whereNoInstanceIsReplacedNoneSendsOnceTheThirdEndIsKnownEvenWithoutTheLog(@ForAll long seed) {
        Simulation simulation = play(new Simulation(new Random(seed), false));
        Assert.assertEquals(simulation.sendingsOnceKnown, 0);
    }

    private static Simulation play(Simulation simulation) {
        for (int step = 0; step < STEPS; step++) {
            simulation.run(step);
        }
        return simulation;
    }

    /** One drawn course of events. */
    private static final class Simulation {
        private final Random random;

        /** Whether instances are replaced. */
        private final boolean replacing;

        private final int firstSendStep;
        private final ManualTime time = new ManualTime();
        private final FakeKeyedLog log = new FakeKeyedLog();
        private final List<Instance> instances = new ArrayList<>();
        private int logFaultEnd;
        private int ends;
        private int found;
        private int thirdEndStep;
        private int lateSendings;

        /** When the third end was found, 0 before. */
        private int thirdFoundStep;

        private int sendingsOnceKnown;
        private int currentStep;

        Simulation(Random random, boolean replacing) {
            this.random = random;
            this.replacing = replacing;
            this.firstSendStep = random.nextInt(STEPS / 2);
            for (int number = 0; number < INSTANCES; number++) {
                instances.add(new Instance(0));
            }
        }

        /** Runs the events of one step. */
        void run(int step) {
            currentStep = step;
            time.advanceMillis(STEP_MILLIS);
            drawFaults(step);
            if (step % 3 == 0) {
                tellOneAnother();
            }
            if (step >= firstSendStep && random.nextInt(5) == 0) {
                send(step, instances.get(random.nextInt(INSTANCES)));
            }
        }

        private void drawFaults(int step) {
            if (step == logFaultEnd) {
                log.setDown(false);
            } else if (step > logFaultEnd + 40 && random.nextInt(30) == 0) {
                log.setDown(true);
                logFaultEnd = step + 20 + random.nextInt(80);
            }
            if (replacing && random.nextInt(60) == 0) {
                instances.set(random.nextInt(INSTANCES), new Instance(step));
            }
            if (random.nextInt(100) == 0) {
                log.compact();
            }
        }

        /** Passes the notices of each instance to the others; one in five is lost. */
        private void tellOneAnother() {
            for (Instance from : List.copyOf(instances)) {
                List<Crash> crashes = from.exchange.toTell();
                for (Instance to : instances) {
                    if (to != from && random.nextInt(5) > 0) {
                        crashes.forEach(to.exchange::receive);
                    }
                }
            }
        }

        private void send(int step, Instance instance) {
            if (instance.ledger.blockedUntil("bad").isPresent()) {
                return;
            }
            boolean inTouch = step - instance.startStep > CONTACT_STEPS && step - logFaultEnd > CONTACT_STEPS;
            if (ends >= 3 && step - thirdEndStep > CONTACT_STEPS && inTouch) {
                lateSendings++;
            }
            if (thirdFoundStep > 0 && step - thirdFoundStep > SPREAD_STEPS) {
                sendingsOnceKnown++;
            }
            ends++;
            if (ends == 3) {
                thirdEndStep = step;
            }
            instance.find(new Crash("bad", "s@" + ends));
        }

        /** What one process of an instance knows. */
        private final class Instance {
            private final CrashLedger ledger = CrashLedger.create(time, cleared -> {});
            private final CrashExchange exchange;
            private final int startStep;

            Instance(int startStep) {
                this.startStep = startStep;
                this.exchange = CrashExchange.start(
                        log,
                        ledger,
                        random::nextDouble,
                        RetryPacer.create(random::nextDouble, time, time),
                        UnsharedReads.waiting(CrashExchange.MIN_READ_INTERVAL_MILLIS, CrashExchange.READ_MILLIS),
                        time,
                        time);
            }

            /** Finds an end some time after it, if the process still runs. */
            void find(Crash crash) {
                long delayMillis = random.nextInt(1_500);
                time.runAt(Deadline.afterMillis(time.nanos(), delayMillis), () -> {
                    if (instances.contains(this) && ledger.recordCrash(crash)) {
                        exchange.publish(crash);
                        found++;
                        thirdFoundStep = found == 3 ? currentStep : thirdFoundStep;
                    }
                });
            }
        }
    }
}
