/** At-most-once execution of calls with idempotency keys: reservation in the log, sending, recording of the outcome. */
package org.verbenatray.once;
