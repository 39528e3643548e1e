package org.gooseberryring.transport.peer;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Computes and verifies HMAC-SHA-256 values; not thread-safe. */
public final class FrameSigner {
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac mac;

    /** Creates a signer for a shared secret. */
    public FrameSigner(byte[] secret) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException("Every Java platform must support " + ALGORITHM, e);
        }
    }

    public byte[] sign(byte[] payload) {
        return mac.doFinal(payload);
    }

    /** Returns whether the HMAC matches the payload; the comparison takes constant time. */
    public boolean verify(byte[] payload, byte[] hmac) {
        return MessageDigest.isEqual(sign(payload), hmac);
    }
}
