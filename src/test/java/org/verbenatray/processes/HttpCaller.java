package org.verbenatray.processes;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** HTTP client for calls to entry instances. */
public final class HttpCaller {
    /** The API key in the test configurations. */
    public static final String KEY = "test-key";

    /** The SHA-256 of {@link #KEY}. */
    public static final String KEY_SHA256 = "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef";

    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final String key;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private HttpCaller(String key) {
        this.key = key;
    }

    /** Returns a client that sends the given API key. */
    public static HttpCaller withKey(String key) {
        return new HttpCaller(key);
    }

    /** Sends a request and returns the complete response. */
    public HttpResponse<String> send(String method, String uri, String body, String... headers) {
        return sendAsync(method, uri, body, headers).join();
    }

    /** Sends a request without waiting for the response. */
    public CompletableFuture<HttpResponse<String>> sendAsync(
            String method, String uri, String body, String... headers) {
        return client.sendAsync(request(method, uri, body, headers), BodyHandlers.ofString());
    }

    /** Sends a POST request and returns the complete response with its body as bytes. */
    public HttpResponse<byte[]> sendForBytes(String uri, String body, String... headers) {
        return client.sendAsync(request("POST", uri, body, headers), BodyHandlers.ofByteArray())
                .join();
    }

    private HttpRequest request(String method, String uri, String body, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(uri))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + key)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return request.build();
    }

    /** Returns the request body of a completion. */
    public static String completionBody(String prompt, int maxTokens, long seed, boolean stream) {
        return "{\"model\":\"quick-check\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + maxTokens + ",\"seed\":"
                + seed + ",\"stream\":" + stream + "}";
    }

    /** Returns the generated text in the response body of a completion, streamed or not. */
    public static String textOf(String body) {
        StringBuilder text = new StringBuilder();
        java.util.regex.Matcher matcher =
                java.util.regex.Pattern.compile("\"text\":\"([^\"]*)\"").matcher(body);
        while (matcher.find()) {
            text.append(matcher.group(1));
        }
        return text.toString();
    }
}
