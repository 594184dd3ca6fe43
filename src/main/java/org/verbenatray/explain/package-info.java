/** Bounded records of what became of single requests and why, for operators. */
package org.verbenatray.explain;
