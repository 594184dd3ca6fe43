/** Adapters to the users' platform: its settings file, its store, and its HTTP headers and message bodies. */
package org.verbenatray.platform;
