/** Load generator that sends a mix of requests to entry instances and verifies the responses. */
package org.verbenatray.load;
