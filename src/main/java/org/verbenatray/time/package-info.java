/** Monotonic time and deadlines. */
package org.verbenatray.time;
