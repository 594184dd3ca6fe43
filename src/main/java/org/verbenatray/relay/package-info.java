/** Passes callers' requests to backend servers and their answers back, unchanged and whole. */
package org.verbenatray.relay;
