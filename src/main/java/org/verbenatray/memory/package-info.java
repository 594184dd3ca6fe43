/** One account of the bytes that callers and servers make this process keep, and the rules by which it is shared. */
package org.verbenatray.memory;
