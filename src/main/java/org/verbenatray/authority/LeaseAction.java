package org.verbenatray.authority;

import java.util.Optional;
import org.verbenatray.log.RecordBody;

/**
 * A record that the keeper wants to append.
 *
 * @param body the record's body
 * @param follows the offset that it follows, empty for none
 * @param changesHolding whether it is a claim, a renewal or a release of the present holding
 */
record LeaseAction(RecordBody body, Optional<Long> follows, boolean changesHolding) {}
