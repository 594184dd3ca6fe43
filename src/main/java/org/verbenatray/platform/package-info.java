/** HTTP clients for the platform's log service and instance list. */
package org.verbenatray.platform;
