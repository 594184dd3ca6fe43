/** Small stand-ins for the platform, the engines and the plain services. */
package org.verbenatray.standin;
