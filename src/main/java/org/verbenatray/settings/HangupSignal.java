package org.verbenatray.settings;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import org.verbenatray.telemetry.Event;

/** Handles SIGHUP, which would otherwise end the process, as a request to reload the settings. */
public final class HangupSignal {
    private static final Logger log = System.getLogger(HangupSignal.class.getName());

    private HangupSignal() {}

    /**
     * Installs a handler that runs the action on SIGHUP; if that fails, a warning is logged. The JDK's signal classes
     * are used by reflection because they are not public API.
     */
    public static void install(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object signalHandler = Proxy.newProxyInstance(
                    handler.getClassLoader(),
                    new Class<?>[] {handler},
                    (proxy, method, arguments) -> onInvocation(method, action));
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangup, signalHandler);
        } catch (ReflectiveOperationException e) {
            Event.named("hangup_not_handled").with("why", e).log(log, Level.WARNING);
        }
    }

    /** Logs the signal and runs the action; calls of other methods of the proxy are ignored. */
    private static Object onInvocation(Method method, Runnable action) {
        if (method.getName().equals("handle")) {
            Event.named("reload").with("why", "hangup").log(log, Level.INFO);
            action.run();
        }
        return null;
    }
}
