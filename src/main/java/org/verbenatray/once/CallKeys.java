package org.verbenatray.once;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/** Derives call keys and body hashes from requests. */
public final class CallKeys {
    /** Maximum length of an idempotency key in characters. */
    public static final int MAX_KEY_CHARS = 256;

    /** The characters that the {@code Idempotency-Key} header may contain. */
    private static final Pattern PRINTABLE_ASCII = Pattern.compile("[\\x20-\\x7e]+");

    /** A version 7 UUID in lower case. */
    private static final Pattern UUID_V7 =
            Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");

    /** A UUID of any version, in upper or lower case. */
    private static final Pattern ANY_UUID = Pattern.compile("[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}");

    /** Leading hexadecimal digits of a version 7 UUID that encode its time in milliseconds since the epoch. */
    private static final int UUID_TIME_DIGITS = 12;

    private static final int HEX_RADIX = 16;

    private CallKeys() {}

    /**
     * Returns the key of a customer's call to a service, empty when the idempotency key is empty, too long or not
     * printable ASCII.
     *
     * <p>The hash covers the customer and the service, so that no customer can read the response to another customer's
     * call. Quotes around the key and the case of a UUID are ignored.
     */
    public static Optional<CallKey> derive(String customer, String service, String idempotencyKey) {
        String key = normalize(idempotencyKey);
        if (key.length() > MAX_KEY_CHARS || !PRINTABLE_ASCII.matcher(key).matches()) {
            return Optional.empty();
        }
        Hasher hasher = Hashing.sha256().newHasher();
        putText(hasher, customer);
        putText(hasher, service);
        putText(hasher, key);
        return Optional.of(new CallKey(customer + "/" + hasher.hash(), issuedMillis(key)));
    }

    /**
     * Returns the SHA-256 in hexadecimal of the parts of a request that must be equal in every retry under the same
     * key.
     */
    public static String bodyHash(String service, String method, String path, byte[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        putText(hasher, service);
        putText(hasher, method);
        putText(hasher, path);
        hasher.putBytes(body);
        return hasher.hash().toString();
    }

    /** Strips white space and surrounding quotes, and converts UUIDs to lower case. */
    private static String normalize(String idempotencyKey) {
        String key = idempotencyKey.strip();
        if (key.length() >= 2 && key.startsWith("\"") && key.endsWith("\"")) {
            key = key.substring(1, key.length() - 1);
        }
        return ANY_UUID.matcher(key).matches() ? key.toLowerCase(Locale.ROOT) : key;
    }

    /** Returns the time embedded in a version 7 UUID in milliseconds since the epoch, empty for any other key. */
    private static Optional<Long> issuedMillis(String key) {
        if (!UUID_V7.matcher(key).matches()) {
            return Optional.empty();
        }
        String digits = key.replace("-", "").substring(0, UUID_TIME_DIGITS);
        return Optional.of(Long.parseLong(digits, HEX_RADIX));
    }

    /** Adds a text preceded by its length, so that different splits of the same characters hash differently. */
    private static void putText(Hasher hasher, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length);
        hasher.putBytes(bytes);
    }
}
