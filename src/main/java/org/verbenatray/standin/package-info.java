/** Stand-in HTTP servers for the platform, the engines and the plain services, used by demos, benchmarks and tests. */
package org.verbenatray.standin;
