/**
 * Decides what happens to a request under load, apart from input and output, in this order: how long ago its caller
 * first asked ({@link org.verbenatray.scheduling.FirstAttemptEstimator}), on which engine its prompt is processed and
 * whether it goes before others, behind them or not at all ({@link org.verbenatray.scheduling.PromptScheduler}), and
 * with which priority engines queue it ({@link org.verbenatray.scheduling.EnginePriority}).
 */
package org.verbenatray.scheduling;
