/** Admission control: customers' limits, fair queuing, deadlines and retry throttling. */
package org.verbenatray.admission;
