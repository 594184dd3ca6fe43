/** Orders to engines: journal, dispatch and settlement. */
package org.verbenatray.orders;
