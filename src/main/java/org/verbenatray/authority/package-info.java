/** Leases over the engines of a failure domain and their fencing numbers. */
package org.verbenatray.authority;
