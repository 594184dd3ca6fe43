/** Seeded combinations of faults against running instances, with invariants that are checked throughout. */
package org.verbenatray.faults;
