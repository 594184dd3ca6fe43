package org.verbenatray.serving;

/**
 * One step in the processing of a request; a step that rejects the request throws a {@link RefusalException}.
 *
 * @param <I> the type of the input
 * @param <O> the type of the output
 */
@FunctionalInterface
interface PipelineStep<I, O> {
    /** Applies the step. */
    O apply(I input);

    /** Returns the composition of this step and the next one. */
    default <P> PipelineStep<I, P> then(PipelineStep<? super O, ? extends P> next) {
        return input -> next.apply(apply(input));
    }
}
