/**
 * Counts the requests of each customer by window of time, over all instances, and reports each window once. Every
 * instance counts what it sends ({@link org.verbenatray.usage.UsageWindows}) and tells a few instances
 * ({@link org.verbenatray.usage.UsageExchange}); the one that holds the duty adds the counts up
 * ({@link org.verbenatray.usage.UsageTotals}), decides them in the log and reports them
 * ({@link org.verbenatray.usage.UsageReporter}).
 */
package org.verbenatray.usage;
