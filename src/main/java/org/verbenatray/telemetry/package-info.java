/** Log events, metrics and state dumps. */
package org.verbenatray.telemetry;
