/** Monotonic time, deadlines and scheduling. */
package org.verbenatray.time;
