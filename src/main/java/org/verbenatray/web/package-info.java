/** HTTP server helpers shared by entry instances and stand-ins. */
package org.verbenatray.web;
