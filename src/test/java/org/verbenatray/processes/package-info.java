/** Tests that run the binary as separate processes. */
package org.verbenatray.processes;
