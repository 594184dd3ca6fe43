/** The replicated state that is folded from the log, its snapshots, the log followers and the batching appender. */
package org.verbenatray.state;
