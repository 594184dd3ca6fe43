/** The commands of the binary. */
package org.verbenatray.cli;
