/** Planning of role changes: demand tracking, capacity estimates and the choice of engines to change. */
package org.verbenatray.roles;
