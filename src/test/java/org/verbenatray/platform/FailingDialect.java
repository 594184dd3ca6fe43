package org.verbenatray.platform;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.function.BooleanSupplier;
import org.verbenatray.relay.RelayDialect;

/** A translation of the platform's protocol in which one method fails. */
final class FailingDialect {
    private FailingDialect() {}

    /** Returns a translation whose method of the given name throws while the condition holds. */
    static RelayDialect failingIn(String method, BooleanSupplier condition) {
        RelayDialect real = PlatformProtocol.create();
        return (RelayDialect) Proxy.newProxyInstance(
                RelayDialect.class.getClassLoader(),
                new Class<?>[] {RelayDialect.class},
                (proxy, called, arguments) -> {
                    if (called.getName().equals(method) && condition.getAsBoolean()) {
                        throw new IllegalStateException("injected failure of " + method);
                    }
                    try {
                        return called.invoke(real, arguments);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }
}
