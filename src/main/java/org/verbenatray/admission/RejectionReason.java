package org.verbenatray.admission;

/** Reasons to reject a request before it runs, each with its remedy. */
public enum RejectionReason {
    /** No customer of this name is configured. */
    UNKNOWN_CUSTOMER("ask the operators to add the customer to the configuration folder"),
    /** No model of this name is configured. */
    UNKNOWN_MODEL("name one of the models that /v1/models lists"),
    /** No engine's KV cache can hold the prompt and its output. */
    TOO_LONG("shorten the prompt or lower the bound on the output tokens"),
    /** The customer exceeded its rate limit of requests. */
    RATE_LIMITED("send fewer requests per second, or ask the operators to raise requestsPerSecond"),
    /** The customer exceeded its rate limit of tokens. */
    TOKENS_LIMITED("send fewer tokens per second, or ask the operators to raise tokensPerSecond"),
    /** The customer has reached its limit of open requests. */
    TOO_MANY_OPEN("wait for an open request to finish, or ask the operators to raise maxOpen"),
    /** The complete response can't be delivered by the request's deadline. */
    DEADLINE_UNREACHABLE("send a later deadline, or a shorter request, or retry after the stated time"),
    /** The queue is full. */
    OVERLOADED("retry after the stated time"),
    /** No engine serves the model at present. */
    NO_ENGINE("retry after the stated time; operators: see the engines' conditions in the state dump");

    private final String remedy;

    RejectionReason(String remedy) {
        this.remedy = remedy;
    }

    /** Returns the action that the caller or the operators can take, as part of the error message. */
    public String remedy() {
        return remedy;
    }
}
