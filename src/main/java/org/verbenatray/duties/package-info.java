/**
 * What the system has to do for the platform, one instance at a time: the reports and orders, and the API that takes
 * them.
 */
package org.verbenatray.duties;
