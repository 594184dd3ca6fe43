/** Bounded in-memory traces of single requests, from which operators see how and why each was processed. */
package org.verbenatray.explain;
