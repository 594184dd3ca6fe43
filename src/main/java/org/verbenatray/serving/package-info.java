/**
 * Serves the HTTP requests of callers: authenticates and admits them, sends them to engines or plain services, and
 * relays the responses.
 */
package org.verbenatray.serving;
