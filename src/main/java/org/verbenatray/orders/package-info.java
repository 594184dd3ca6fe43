/** Journals orders to engines in the log, sends them and determines their outcomes. */
package org.verbenatray.orders;
