/** Routing: the choice of the engines for a request by a cost model, and baseline routers. */
package org.verbenatray.routing;
