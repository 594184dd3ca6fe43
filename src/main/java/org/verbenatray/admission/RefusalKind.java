package org.verbenatray.admission;

/** Why a request was refused. None of the refused requests was run. */
public enum RefusalKind {
    /** No customer of this name is configured. */
    UNKNOWN_CUSTOMER("ask the operators to add the customer to the configuration folder"),
    /** No model of this name is configured. */
    UNKNOWN_MODEL("name one of the models that /v1/models lists"),
    /** No engine's KV cache can hold the prompt and its output. */
    TOO_LONG("shorten the prompt or lower the bound on the output tokens"),
    /** The customer sent more requests than its limit. */
    RATE_LIMITED("send fewer requests per second, or ask the operators to raise requestsPerSecond"),
    /** The customer's requests hold more tokens than its limit. */
    TOKENS_LIMITED("send fewer tokens per second, or ask the operators to raise tokensPerSecond"),
    /** The customer has as many open requests as it may. */
    TOO_MANY_OPEN("wait for an open request to finish, or ask the operators to raise maxOpen"),
    /** The whole answer can't be delivered by the request's deadline. */
    DEADLINE_UNREACHABLE("send a later deadline, or a shorter request, or come back after the stated time"),
    /** More requests wait than the queue may hold. */
    OVERLOADED("come back after the stated time"),
    /** No engine serves the model at present. */
    NO_ENGINE("come back after the stated time; operators: see the engines' conditions in the state dump");

    /** What the caller or the operators can do. */
    private final String remedy;

    /** Creates a kind with its remedy. */
    RefusalKind(String remedy) {
        this.remedy = remedy;
    }

    /** Returns what the caller or the operators can do. */
    public String remedy() {
        return remedy;
    }
}
