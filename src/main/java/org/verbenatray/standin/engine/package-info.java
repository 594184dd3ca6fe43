/** A deterministic model of a model engine on an injected clock. */
package org.verbenatray.standin.engine;
