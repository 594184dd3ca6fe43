package org.verbenatray.platform;

import java.util.function.BooleanSupplier;
import org.verbenatray.relay.RelayDialect;

/** A translation of the platform's protocol in which one method fails. */
final class FailingDialect {
    private FailingDialect() {}

    /** Returns a translation whose method of the given name throws while the condition holds. */
    static RelayDialect failingIn(String method, BooleanSupplier condition) {
        return InterceptedDialect.before(method, () -> {
            if (condition.getAsBoolean()) {
                throw new IllegalStateException("injected failure of " + method);
            }
        });
    }
}
