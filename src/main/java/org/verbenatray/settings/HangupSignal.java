package org.verbenatray.settings;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import org.verbenatray.telemetry.Event;

/** Takes SIGHUP, which would end the process otherwise, as the news that the settings have changed. */
public final class HangupSignal {
    /** The log. */
    private static final Logger log = System.getLogger(HangupSignal.class.getName());

    /** Prevents instances. */
    private HangupSignal() {}

    /**
     * Keeps the process alive at SIGHUP and runs an action then; the JDK's signal classes are reached by reflection as
     * they are not public.
     */
    public static void install(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object heard = Proxy.newProxyInstance(
                    handler.getClassLoader(),
                    new Class<?>[] {handler},
                    (proxy, method, arguments) -> hear(method, action));
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangup, heard);
        } catch (ReflectiveOperationException e) {
            Event.named("hangup_not_handled").with("why", e).log(log, Level.WARNING);
        }
    }

    /** Notes the signal and runs the action. */
    private static Object hear(Method method, Runnable action) {
        if (method.getName().equals("handle")) {
            Event.named("reload").with("why", "hangup").log(log, Level.INFO);
            action.run();
        }
        return null;
    }
}
