/** Chooses the backend servers of a request and the stages of the engines. */
package org.verbenatray.placement;
