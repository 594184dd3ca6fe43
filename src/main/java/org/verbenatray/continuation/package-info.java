/**
 * Decides where a stream may be continued: only at servers of the software version that sent its first event, whichever
 * instance has relayed that event.
 */
package org.verbenatray.continuation;
