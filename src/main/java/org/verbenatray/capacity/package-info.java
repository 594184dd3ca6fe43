/**
 * Decides how many servers of each kind a service that can be scaled should have in each failure domain, from the load
 * that its servers report and the prices of the catalog.
 */
package org.verbenatray.capacity;
