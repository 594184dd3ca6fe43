/** Tracking and isolation of requests that may crash the backend server that runs them. */
package org.verbenatray.suspects;
