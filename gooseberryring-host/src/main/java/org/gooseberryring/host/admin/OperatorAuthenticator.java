package org.gooseberryring.host.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import org.gooseberryring.host.caller.Digests;
import org.gooseberryring.host.settings.HostSettings;

/** Authenticates operators by the tokens in the settings. */
public final class OperatorAuthenticator {
    private static final String BEARER = "Bearer ";

    private final List<HostSettings.OperatorToken> tokens;

    public OperatorAuthenticator(List<HostSettings.OperatorToken> tokens) {
        this.tokens = tokens;
    }

    /** Returns the name of the operator, or {@code null} if the token is missing or unknown. */
    String operator(HeaderMap headers) {
        HeaderValues values = headers.get(Headers.AUTHORIZATION);
        if (values == null || values.size() != 1 || !values.getFirst().startsWith(BEARER)) {
            return null;
        }
        byte[] digest = Digests.hex(values.getFirst().substring(BEARER.length()).strip())
                .getBytes(StandardCharsets.UTF_8);
        String name = null;
        for (HostSettings.OperatorToken token : tokens) {
            if (MessageDigest.isEqual(digest, token.digest().getBytes(StandardCharsets.UTF_8))) {
                name = token.name();
            }
        }
        return name;
    }
}
