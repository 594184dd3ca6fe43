package org.verbenatray.placement;

import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.function.UnaryOperator;
import org.verbenatray.backends.Backend;
import org.verbenatray.openwork.EngineWork;

/**
 * What is known of engines when a prompt is placed.
 *
 * @param openWork returns the open work of all instances at an engine
 * @param slowness returns the time that an engine takes for a prompt, as a multiple of that of the others
 * @param generationSlowness returns the time between two events of an engine, as a multiple of that of the others
 * @param extraMillis returns what else speaks against an engine, in milliseconds of delay
 * @param shortPromptEngines returns the engines, of the given ones, among which a short prompt is placed
 */
public record EngineView(
        Function<Backend, EngineWork> openWork,
        ToDoubleFunction<Backend> slowness,
        ToDoubleFunction<Backend> generationSlowness,
        ToDoubleFunction<Backend> extraMillis,
        UnaryOperator<List<Backend>> shortPromptEngines) {
    /** Returns a view of equal engines, with the work of this instance and that of the others by boot id. */
    public static EngineView ofEqualEngines(Function<String, EngineWork> remoteWork) {
        return new EngineView(
                engine -> engine.openWork().plus(remoteWork.apply(engine.entry().bootId())),
                engine -> 1,
                engine -> 1,
                engine -> 0,
                engines -> engines);
    }

    /** Returns this view with engines that generate output at different speeds. */
    public EngineView withGenerationSlowness(ToDoubleFunction<Backend> other) {
        return new EngineView(openWork, slowness, other, extraMillis, shortPromptEngines);
    }

    /** Returns this view with a choice of engines among which a short prompt is placed. */
    public EngineView withShortPromptEngines(UnaryOperator<List<Backend>> other) {
        return new EngineView(openWork, slowness, generationSlowness, extraMillis, other);
    }
}
