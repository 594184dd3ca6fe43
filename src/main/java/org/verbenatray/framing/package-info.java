/**
 * The framing of HTTP/1.1 messages: which bytes of a connection are a message, and where it ends. Strict, without input
 * and output.
 */
package org.verbenatray.framing;
