/** Event lines, metrics and state dumps. */
package org.verbenatray.telemetry;
