/** Bounds on repetition: the budget of retries and the requests that crash servers. */
package org.verbenatray.resilience;
