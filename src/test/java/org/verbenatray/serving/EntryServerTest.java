package org.verbenatray.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.demo.EmbeddedDeployment;
import org.verbenatray.demo.EmbeddedDeployment.Shape;
import org.verbenatray.load.UuidV7;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.processes.Await;
import org.verbenatray.processes.HttpCaller;
import org.verbenatray.standin.ServiceServer;

/** Tests {@link EntryServer} with malformed and hostile requests. */
public final class EntryServerTest {
    private static final String AUTHORIZATION = "Authorization: Bearer " + EmbeddedDeployment.API_KEY + "\r\n";
    private static final int TOO_LARGE_BYTES = 16 * 1024 * 1024 + 1;
    private final HttpCaller caller = HttpCaller.withKey(EmbeddedDeployment.API_KEY);
    private final SplittableRandom random = new SplittableRandom(7);
    private EmbeddedDeployment deployment;

    @BeforeClass
    public void start() throws Exception {
        deployment = EmbeddedDeployment.start(Shape.small());
    }

    @AfterClass
    public void stop() {
        deployment.close();
    }

    @DataProvider
    public Object[][] invalidRequests() {
        String completions = "/v1/completions";
        return new Object[][] {
            {"POST", completions, "{", 400, "bad_request"},
            {"POST", completions, "", 400, "bad_request"},
            {"POST", completions, "null", 400, "bad_request"},
            {"POST", completions, "[1]", 400, "bad_request"},
            {"POST", completions, "{\"model\":\"quick-check\"}", 400, "bad_request"},
            {"POST", completions, "{\"prompt\":\"p\"}", 400, "bad_request"},
            {"POST", completions, "{\"model\":\"quick-check\",\"prompt\":{}}", 400, "bad_request"},
            {"POST", completions, body("\"max_tokens\":\"many\""), 400, "bad_request"},
            {"POST", completions, body("\"max_tokens\":0"), 400, "bad_request"},
            {"POST", completions, body("\"stream\":3"), 400, "bad_request"},
            {"POST", completions, body("\"seed\":[]"), 400, "bad_request"},
            {"POST", "/v1/chat/completions", "{\"model\":\"quick-check\",\"messages\":\"hi\"}", 400, "bad_request"},
            {"POST", "/v1/chat/completions", "{\"model\":\"quick-check\",\"messages\":[null]}", 400, "bad_request"},
            {"POST", completions, "{\"model\":\"other\",\"prompt\":\"p\"}", 404, "not_found"},
            {"GET", completions, "", 404, "not_found"},
            {"DELETE", "/v1/models", "", 404, "not_found"},
            {"GET", "/state", "", 404, "not_found"},
            {"GET", "/services/other/passports", "", 404, "not_found"},
            {"GET", "/services/", "", 404, "not_found"},
            {"DELETE", "/services/registry/passports", "", 404, "not_found"},
            {"GET", "/services/registry/passportsandmore", "", 404, "not_found"},
            {"GET", "/services/registry/passports/../certificates", "", 400, "bad_request"},
            {"GET", "/services/registry/passports/%2e%2e/certificates", "", 400, "bad_request"},
            {"GET", "/services/registry/passports%2F7", "", 400, "bad_request"},
            {"GET", "/services/registry/passports//7", "", 400, "bad_request"},
            {"GET", "/services/../v1/models", "", 404, "not_found"},
        };
    }

    @Test(dataProvider = "invalidRequests")
    public void anInvalidRequestIsRefusedAsJson(String method, String path, String body, int status, String type)
            throws IOException {
        assertRefusal(raw(method + " " + path + " HTTP/1.1\r\n" + AUTHORIZATION, body), status, type);
    }

    @DataProvider
    public Object[][] invalidHeaders() {
        return new Object[][] {
            {"GET /v1/models", "", 401, "unauthenticated"},
            {"GET /v1/models", "Authorization: Bearer other\r\n", 401, "unauthenticated"},
            {"POST /v1/completions", "Authorization: Basic " + EmbeddedDeployment.API_KEY + "\r\n", 401, null},
            {"GET /services/registry/passports/7", "", 401, "unauthenticated"},
            {"GET /v1/models", AUTHORIZATION + "X-Timeout-Millis: soon\r\n", 400, "bad_request"},
            {"POST /services/registry/certificates", AUTHORIZATION + "Idempotency-Key: a b\r\n", 400, "bad_request"},
        };
    }

    @Test(dataProvider = "invalidHeaders")
    public void aRequestWithAMissingOrInvalidHeaderIsRefusedAsJson(String line, String headers, int status, String type)
            throws IOException {
        assertRefusal(raw(line + " HTTP/1.1\r\n" + headers, ""), status, type == null ? "unauthenticated" : type);
    }

    @Test
    public void aBodyOverTheLimitIsRefusedAsJsonWithAndWithoutContentLength() throws IOException {
        String head = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + AUTHORIZATION;
        assertRefusal(exchange(head + "Content-Length: " + TOO_LARGE_BYTES + "\r\n\r\n"), 413, "too_large");
        String chunk = Integer.toHexString(TOO_LARGE_BYTES) + "\r\n" + " ".repeat(TOO_LARGE_BYTES);
        assertRefusal(exchange(head + "Transfer-Encoding: chunked\r\n\r\n" + chunk), 413, "too_large");
    }

    @Test
    public void headersOverTheLimitsAreAnswered400AndTheConnectionIsClosed() throws IOException {
        String many = "X-Filler: 1\r\n".repeat(200);
        assertTrue(raw("GET /v1/models HTTP/1.1\r\n" + AUTHORIZATION + many, "").startsWith("HTTP/1.1 400 "));
        String large = "X-Filler: " + "1".repeat(64 * 1024) + "\r\n";
        assertFalse(
                raw("GET /v1/models HTTP/1.1\r\n" + AUTHORIZATION + large, "").contains(" 200 "));
    }

    @Test
    public void headersOfACallerAreNotForwardedToABackendServer() throws IOException {
        String response = raw(
                "GET /services/registry/passports/7 HTTP/1.1\r\n" + AUTHORIZATION
                        + "X-Customer: other\r\nX-Dispatch-Id: mine\r\nX-Forwarded-For: 1.2.3.4\r\nX-Request-Id: a\r\n"
                        + "TE: trailers\r\nExpect-Nothing: 1\r\n",
                "");
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        var headers = service().lastRequestHeaders();
        assertEquals(headers.get("x-customer").toString(), "[embedded]");
        assertFalse(headers.get("x-dispatch-id").contains("mine"));
        assertFalse(headers.get("x-request-id").contains("a"));
        assertEquals(headers.get("host").get(0), URI.create(service().address()).getAuthority());
        assertEquals(headers.keySet().toString(), "[host, x-customer, x-dispatch-id, x-request-id]");
    }

    @Test
    public void aBodyWithTwoLengthsIsNotForwardedAsTwoCalls() throws IOException {
        String inner = "POST /services/registry/certificates HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n"
                + AUTHORIZATION + "\r\nsmuggle";
        String head = "GET /services/registry/passports/8 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + AUTHORIZATION
                + "Transfer-Encoding: chunked\r\nContent-Length: " + (5 + inner.length()) + "\r\n\r\n0\r\n\r\n";
        String response = exchange(head + inner);
        assertEquals(service().runs("POST", "/certificates", "smuggle"), 0, response);
        assertEquals(response.split("HTTP/1.1 ").length, 2, response);
    }

    @Test
    public void anIdempotencyKeyIsNotSharedBetweenCustomers() throws Exception {
        deployment.publish(
                "other.yaml",
                "customers:\n  other:\n    keySha256: " + HttpCaller.KEY_SHA256
                        + "\n    requestsPerSecond: 100\n    tokensPerSecond: 1000\n    maxOpen: 10\n");
        HttpCaller other = HttpCaller.withKey(HttpCaller.KEY);
        Await.until(() -> other.send("GET", uri("/v1/models"), "").statusCode() == 200);
        String key = UuidV7.create(System.currentTimeMillis(), random).toString();
        HttpResponse<String> first = issue(caller, key, "secret");
        assertEquals(first.statusCode(), 200, first.body());
        HttpResponse<String> foreign = issue(other, key, "guess");
        assertEquals(foreign.statusCode(), 200, foreign.body());
        assertTrue(foreign.headers().firstValue("Idempotent-Replayed").isEmpty());
        assertEquals(service().runs("POST", "/certificates", "guess"), 1);
        assertTrue(issue(caller, key, "secret")
                .headers()
                .firstValue("Idempotent-Replayed")
                .isPresent());
        assertEquals(service().runs("POST", "/certificates", "secret"), 1);
    }

    private HttpResponse<String> issue(HttpCaller from, String key, String body) {
        return from.send("POST", uri("/services/registry/certificates"), body, "Idempotency-Key", key);
    }

    private ServiceServer service() {
        return deployment.services().get(0);
    }

    private String uri(String path) {
        return deployment.entries().get(0).callersAddress() + path;
    }

    private static String body(String extra) {
        return "{\"model\":\"quick-check\",\"prompt\":\"p\"," + extra + "}";
    }

    private String raw(String head, String body) throws IOException {
        String length = body.isEmpty() && head.startsWith("GET") ? "" : "Content-Length: " + body.length() + "\r\n";
        return exchange(head + "Host: h\r\nConnection: close\r\n" + length + "\r\n" + body);
    }

    private String exchange(String request) throws IOException {
        URI uri = URI.create(uri(""));
        try (Socket socket = new Socket(uri.getHost(), uri.getPort())) {
            try {
                socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                // The instance rejected the request before it was sent completely.
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static void assertRefusal(String response, int status, String type) throws IOException {
        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), "[" + response + "]");
        assertTrue(response.toLowerCase(java.util.Locale.ROOT).contains("content-type: application/json"), response);
        JsonNode error = RecordCodec.mapper()
                .readTree(response.substring(response.indexOf("\r\n\r\n") + 4))
                .path("error");
        assertEquals(error.path("type").asText(), type, response);
        assertEquals(error.path("ran").asText(), "no", response);
        assertFalse(error.path("message").asText().isBlank(), response);
    }
}
