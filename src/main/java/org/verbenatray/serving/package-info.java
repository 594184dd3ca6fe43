/** The HTTP pipeline from a caller to a backend server and back. */
package org.verbenatray.serving;
