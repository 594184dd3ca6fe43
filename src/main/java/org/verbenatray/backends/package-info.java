/** The backend servers of the services: their membership, load and health as observed by this instance. */
package org.verbenatray.backends;
