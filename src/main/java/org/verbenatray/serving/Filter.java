package org.verbenatray.serving;

/**
 * One step of the pipeline; a step that refuses fails with a {@link RefusalException}.
 *
 * @param <I> what the step takes
 * @param <O> what the step gives
 */
@FunctionalInterface
interface Filter<I, O> {
    /** Applies the step. */
    O apply(I input);

    /** Returns this step followed by another one. */
    default <P> Filter<I, P> then(Filter<? super O, ? extends P> next) {
        return input -> next.apply(apply(input));
    }
}
