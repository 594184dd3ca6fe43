/** Choice of an engine for a request, the prefix index and the cost model. */
package org.verbenatray.routing;
