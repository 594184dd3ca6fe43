package org.verbenatray.roles;

import java.util.ArrayList;
import java.util.List;
import org.verbenatray.roles.CapacityModel.EngineAssignment;
import org.verbenatray.roles.CapacityModel.ServiceLevel;
import org.verbenatray.roles.Demand.PriorityDemand;

/**
 * Forecasts the goodput, which is the number of responses that meet their deadline, while a demand lasts. Work that
 * exceeds the capacity as it arrives queues, and is lost only as far as its wait exceeds its patience.
 */
final class GoodputForecast {
    /** Share of the patience that a forecast counts on as queueing time. */
    private static final double USABLE_PATIENCE_SHARE = 0.6;

    private final Demand demand;

    /** Current queueing time in seconds. */
    private final double queueSeconds;

    /** The stages in order. At least one is needed for a forecast. */
    private final List<Stage> stages = new ArrayList<>();

    private GoodputForecast(Demand demand, double queueSeconds) {
        this.demand = demand;
        this.queueSeconds = queueSeconds;
    }

    /** Returns a forecast without stages, for a current queueing time in seconds. */
    static GoodputForecast create(Demand demand, double queueSeconds) {
        return new GoodputForecast(demand, queueSeconds);
    }

    /** Adds a stage in which the given engines serve for the given number of seconds, and returns this forecast. */
    GoodputForecast addStage(List<EngineAssignment> engines, double seconds) {
        stages.add(new Stage(CapacityModel.estimateServiceLevels(engines, demand), Math.max(0, seconds)));
        return this;
    }

    /** Returns the expected number of on-time responses over all stages. */
    double onTimeAnswers() {
        double answers = 0;
        for (int i = 0; i < demand.classes().size(); i++) {
            answers += onTimeAnswers(i, demand.classes().get(i));
        }
        return answers;
    }

    /**
     * Returns the expected number of on-time responses of one class. Queued work is served at the rate of the last
     * stage.
     */
    private double onTimeAnswers(int index, PriorityDemand work) {
        double arrived = 0;
        double unserved = 0;
        double onTime = 0;
        for (Stage stage : stages) {
            ServiceLevel level = stage.serviceLevels().get(index);
            double answers = work.answersPerSecond() * stage.seconds();
            arrived += answers;
            unserved += (1 - level.servedShare()) * answers;
            onTime += level.servedShare() * level.onTimeShare() * answers;
        }
        ServiceLevel last = stages.get(stages.size() - 1).serviceLevels().get(index);
        double patience = Math.max(0, USABLE_PATIENCE_SHARE * work.patienceSeconds() - queueSeconds);
        double queued = Math.min(unserved, last.servedShare() * work.answersPerSecond() * patience);
        return Math.min(arrived, onTime + queued * last.onTimeShare());
    }

    /**
     * A period in which the roles of the engines do not change.
     *
     * @param serviceLevels the service level of each class, in the order of the demand
     * @param seconds the length in seconds
     */
    private record Stage(List<ServiceLevel> serviceLevels, double seconds) {}
}
