/** Composition of entry and relay instances from their components, and publishing of configuration folders. */
package org.verbenatray.instance;
