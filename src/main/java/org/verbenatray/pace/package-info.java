/**
 * Finds the pace at which a backend server that has started or recovered takes requests, from how it answers, for all
 * instances of a group together.
 */
package org.verbenatray.pace;
