package org.gooseberryring.transport.peer;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Computes and checks HMAC-SHA-256; not safe for use by several threads. */
public final class FrameSigner {
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac mac;

    /** Creates a signer for a shared secret. */
    public FrameSigner(byte[] secret) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException("Every Java platform has " + ALGORITHM, e);
        }
    }

    public byte[] sign(byte[] payload) {
        return mac.doFinal(payload);
    }

    /** Returns whether the HMAC belongs to the payload, in a time that does not depend on where they differ. */
    public boolean verify(byte[] payload, byte[] hmac) {
        return MessageDigest.isEqual(sign(payload), hmac);
    }
}
