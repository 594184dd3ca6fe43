/** The current routes, backend services and limits, as immutable versions whose numbers only increase. */
package org.verbenatray.catalog;
