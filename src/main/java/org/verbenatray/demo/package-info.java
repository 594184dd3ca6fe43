/** A deployment of stand-ins and entry instances in one process, for the demonstration and for tests. */
package org.verbenatray.demo;
