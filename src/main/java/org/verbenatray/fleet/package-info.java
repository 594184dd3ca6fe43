/** The view of engines and instances from load reports, cache events, the instance list and peers. */
package org.verbenatray.fleet;
