package org.gooseberryring.host.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests. */
public final class Digests {
    private Digests() {}

    /** Returns the digest of the parts, each preceded by its length so that different splits give different digests. */
    public static byte[] sha256(byte[]... parts) {
        MessageDigest digest = newDigest();
        if (parts.length == 1) {
            return digest.digest(parts[0]);
        }
        for (byte[] part : parts) {
            digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
            digest.update(part);
        }
        return digest.digest();
    }

    /** Returns the lower-case hexadecimal digest of the texts. */
    public static String hex(String... parts) {
        byte[][] bytes = new byte[parts.length][];
        for (int i = 0; i < parts.length; i++) {
            bytes[i] = parts[i].getBytes(StandardCharsets.UTF_8);
        }
        return HexFormat.of().formatHex(sha256(bytes));
    }

    /**
     * Returns the digest that identifies repetitions of a request.
     *
     * @param owner organisation of the caller, or a placeholder if there is none
     * @param target method and destination
     */
    public static String ofRequest(String owner, String target, byte[] body) {
        byte[] digest = sha256(owner.getBytes(StandardCharsets.UTF_8), target.getBytes(StandardCharsets.UTF_8), body);
        return HexFormat.of().formatHex(digest);
    }

    /**
     * Returns the first 64 bits of the digest that identifies a request of a caller.
     *
     * @param owner organisation of the caller, or a placeholder if there is none
     * @param requestId identifier that the caller gave
     */
    public static long ofRequestId(String owner, String requestId) {
        byte[] digest = sha256(owner.getBytes(StandardCharsets.UTF_8), requestId.getBytes(StandardCharsets.UTF_8));
        return ByteBuffer.wrap(digest).getLong();
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform must support SHA-256", e);
        }
    }
}
