/**
 * A deterministic simulation of a language-model engine with continuous batching, driven by time values that the caller
 * passes in.
 */
package org.verbenatray.standin.engine;
