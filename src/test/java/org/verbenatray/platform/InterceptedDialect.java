package org.verbenatray.platform;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.verbenatray.relay.RelayDialect;

/** A translation of the platform's protocol that tells of the calls of one method. */
final class InterceptedDialect {
    private InterceptedDialect() {}

    /** Returns a translation that runs an action before each call of the method with the given name. */
    static RelayDialect before(String method, Runnable action) {
        RelayDialect real = PlatformProtocol.create();
        return (RelayDialect) Proxy.newProxyInstance(
                RelayDialect.class.getClassLoader(),
                new Class<?>[] {RelayDialect.class},
                (proxy, called, arguments) -> {
                    if (called.getName().equals(method)) {
                        action.run();
                    }
                    try {
                        return called.invoke(real, arguments);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }
}
