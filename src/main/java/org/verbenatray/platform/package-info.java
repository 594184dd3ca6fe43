/** Translates between the users' platform and the product: its settings file, its store, its headers and messages. */
package org.verbenatray.platform;
