package org.verbenatray.once;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/** Derives call keys and body hashes from requests. */
public final class CallKeys {
    /** The longest accepted idempotency key in characters. */
    public static final int MAX_KEY_CHARS = 256;

    /** Printable ASCII, which is what the header may carry. */
    private static final Pattern PRINTABLE = Pattern.compile("[\\x20-\\x7e]+");

    /** A UUID of version 7 in lower case. */
    private static final Pattern UUID_V7 =
            Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");

    /** A UUID of any version in any case. */
    private static final Pattern ANY_UUID = Pattern.compile("[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}");

    /** The hexadecimal digits of a UUID of version 7 that hold its time. */
    private static final int TIME_DIGITS = 12;

    /** The base of hexadecimal digits. */
    private static final int HEX = 16;

    /** Prevents instances. */
    private CallKeys() {}

    /**
     * Returns the key of a customer's call to a service, empty when the idempotency key is empty, too long or not
     * printable ASCII.
     *
     * <p>The customer and the service go into the hash, so that no customer reaches another's answer. Quotes around the
     * key and the case of a UUID make no difference.
     */
    public static Optional<CallKey> derive(String customer, String service, String idempotencyKey) {
        String key = normalize(idempotencyKey);
        if (key.length() > MAX_KEY_CHARS || !PRINTABLE.matcher(key).matches()) {
            return Optional.empty();
        }
        Hasher hasher = Hashing.sha256().newHasher();
        putText(hasher, customer);
        putText(hasher, service);
        putText(hasher, key);
        return Optional.of(new CallKey(customer + "/" + hasher.hash(), issuedMillis(key)));
    }

    /** Returns the SHA-256 in hexadecimal of what a repeat of a call must have in common with it. */
    public static String bodyHash(String service, String method, String path, byte[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        putText(hasher, service);
        putText(hasher, method);
        putText(hasher, path);
        hasher.putBytes(body);
        return hasher.hash().toString();
    }

    /** Removes quotes and gives UUIDs one spelling. */
    private static String normalize(String idempotencyKey) {
        String key = idempotencyKey.strip();
        if (key.length() >= 2 && key.startsWith("\"") && key.endsWith("\"")) {
            key = key.substring(1, key.length() - 1);
        }
        return ANY_UUID.matcher(key).matches() ? key.toLowerCase(Locale.ROOT) : key;
    }

    /** Returns the time embedded in a UUID of version 7 in milliseconds since the epoch. */
    private static Optional<Long> issuedMillis(String key) {
        if (!UUID_V7.matcher(key).matches()) {
            return Optional.empty();
        }
        String digits = key.replace("-", "").substring(0, TIME_DIGITS);
        return Optional.of(Long.parseLong(digits, HEX));
    }

    /** Adds a text with its length. */
    private static void putText(Hasher hasher, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        hasher.putInt(bytes.length);
        hasher.putBytes(bytes);
    }
}
