/** HTTP helpers shared by entry instances, their clients and stand-ins. */
package org.verbenatray.web;
