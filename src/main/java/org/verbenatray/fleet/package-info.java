/** Tracks the load, availability and prefix caches of the engines, from their reports, the instance list and peers. */
package org.verbenatray.fleet;
