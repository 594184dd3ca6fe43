/**
 * The exchange of open work between instances within milliseconds, so that they do not all send their next requests to
 * the same engine.
 */
package org.verbenatray.openwork;
