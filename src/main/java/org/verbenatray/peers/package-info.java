/** Links between instances, which carry heartbeats, load deltas, suspect reports and relayed log records. */
package org.verbenatray.peers;
