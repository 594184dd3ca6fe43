/** Calls that may run at most once: reservation, execution and outcome. */
package org.verbenatray.once;
