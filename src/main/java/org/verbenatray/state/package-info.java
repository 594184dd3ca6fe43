/** The deterministic fold of the log, its snapshots, the reader that follows the log and the batching appender. */
package org.verbenatray.state;
