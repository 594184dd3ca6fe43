/** Records of the log service and the client interface that appends and reads them. */
package org.verbenatray.log;
