/** Clients of model engines, plain services and the platform over HTTP. */
package org.verbenatray.servers;
