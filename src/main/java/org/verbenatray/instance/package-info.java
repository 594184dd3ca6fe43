/** The composition of an entry instance from its parts. */
package org.verbenatray.instance;
