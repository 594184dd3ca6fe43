/** The planner that decides when an engine changes its role. */
package org.verbenatray.roles;
