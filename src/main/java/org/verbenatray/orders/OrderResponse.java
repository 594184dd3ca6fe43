package org.verbenatray.orders;

/** The response of an engine to an order. */
public enum OrderResponse {
    /** The order took effect or the engine is carrying it out. */
    DONE,
    /** The engine has received a higher fencing token; nothing changed. */
    REFUSED_OLD_FENCING,
    /** The engine rejected the order for another reason; nothing changed. */
    REFUSED
}
