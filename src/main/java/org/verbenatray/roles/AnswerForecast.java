package org.verbenatray.roles;

import java.util.ArrayList;
import java.util.List;
import org.verbenatray.roles.CapacityModel.Assigned;
import org.verbenatray.roles.CapacityModel.Service;
import org.verbenatray.roles.Demand.PriorityDemand;

/**
 * Forecasts the answers in time over the time that a demand lasts. Work that does not fit as it arrives waits, and is
 * lost only as far as the waiting exceeds its patience.
 */
final class AnswerForecast {
    /** The part of the patience that is counted on. */
    private static final double COUNTED_PATIENCE = 0.6;

    /** The demand. */
    private final Demand demand;

    /** The time that requests wait at present in seconds. */
    private final double waitSeconds;

    /** The stages. */
    private final List<Stage> stages = new ArrayList<>();

    /** Creates a forecast without stages. */
    private AnswerForecast(Demand demand, double waitSeconds) {
        this.demand = demand;
        this.waitSeconds = waitSeconds;
    }

    /** Returns a forecast without stages. */
    static AnswerForecast of(Demand demand, double waitSeconds) {
        return new AnswerForecast(demand, waitSeconds);
    }

    /** Adds a stage in which the given engines serve for some seconds. */
    AnswerForecast then(List<Assigned> engines, double seconds) {
        stages.add(new Stage(CapacityModel.serve(engines, demand), Math.max(0, seconds)));
        return this;
    }

    /** Returns the answers in time over all stages. */
    double answers() {
        double answers = 0;
        for (int i = 0; i < demand.classes().size(); i++) {
            answers += answers(i, demand.classes().get(i));
        }
        return answers;
    }

    /** Returns the answers in time of one class; the last stage's pace takes up what waited. */
    private double answers(int index, PriorityDemand work) {
        double arrived = 0;
        double unserved = 0;
        double good = 0;
        for (Stage stage : stages) {
            Service service = stage.services().get(index);
            double answers = work.answersPerSecond() * stage.seconds();
            arrived += answers;
            unserved += (1 - service.part()) * answers;
            good += service.part() * service.quality() * answers;
        }
        Service last = stages.get(stages.size() - 1).services().get(index);
        double patience = Math.max(0, COUNTED_PATIENCE * work.patienceSeconds() - waitSeconds);
        double waiting = Math.min(unserved, last.part() * work.answersPerSecond() * patience);
        return Math.min(arrived, good + waiting * last.quality());
    }

    /**
     * A time in which the assignment does not change.
     *
     * @param services how each class is served
     * @param seconds how long it lasts in seconds
     */
    private record Stage(List<Service> services, double seconds) {}
}
