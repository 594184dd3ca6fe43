/** Chooses the backend servers of a request. */
package org.verbenatray.placement;
