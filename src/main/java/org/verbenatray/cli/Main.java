package org.verbenatray.cli;

/** The entry point of the binary. */
public final class Main {
    /** Prevents instances. */
    private Main() {}

    /** Runs the command that the arguments name. */
    public static void main(String[] arguments) {
        System.out.println("verbenatray");
    }
}
