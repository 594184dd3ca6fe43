/** The backend servers of the services: who is there, who is leaving, and how each one answers this instance. */
package org.verbenatray.backends;
