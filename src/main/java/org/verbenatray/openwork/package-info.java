/** The open work of each engine, shared among instances within milliseconds so that they don't rush to the same one. */
package org.verbenatray.openwork;
