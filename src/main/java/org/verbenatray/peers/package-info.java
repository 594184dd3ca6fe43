/** Links between instances: heartbeats, load deltas, suspects and relayed records. */
package org.verbenatray.peers;
