/**
 * Relays callers' requests to backend servers and the responses back. Response bodies are passed on unchanged and never
 * truncated silently.
 */
package org.verbenatray.relay;
