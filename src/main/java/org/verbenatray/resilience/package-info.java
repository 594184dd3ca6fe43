/** Limits on retries: retry budgets, and the rejection of requests that crash servers. */
package org.verbenatray.resilience;
