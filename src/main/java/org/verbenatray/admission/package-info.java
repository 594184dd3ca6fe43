/** Limits, fair shares, deadlines and retry budgets. */
package org.verbenatray.admission;
