/** Experiments that play shifts of the request mix through the decision code. */
package org.verbenatray.bench;
