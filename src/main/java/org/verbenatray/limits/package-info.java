/** Rate limits that backend servers state, which all instances together keep. */
package org.verbenatray.limits;
