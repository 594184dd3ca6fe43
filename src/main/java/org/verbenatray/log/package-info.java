/** Records of the platform's logs, and the interfaces of the clients that append and read them. */
package org.verbenatray.log;
