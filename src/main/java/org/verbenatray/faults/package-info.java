/**
 * Fault-injection runs: seeded combinations of faults against running instances, with checks of invariants during and
 * after the run.
 */
package org.verbenatray.faults;
