package org.verbenatray.orders;

/** An engine's answer to an order. */
public enum OrderReply {
    /** The order took effect or its change is under way. */
    DONE,
    /** The engine has seen a higher fencing number; nothing changed. */
    REFUSED_OLD_FENCING,
    /** The engine refused the order for another reason; nothing changed. */
    REFUSED
}
