/** The form of the datagrams that instances send one another. */
package org.verbenatray.datagrams;
