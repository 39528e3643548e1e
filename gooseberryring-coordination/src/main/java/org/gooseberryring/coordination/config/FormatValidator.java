package org.gooseberryring.coordination.config;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** Checks the format of identifiers, digests and addresses. */
final class FormatValidator {
    /** Identifiers appear in store keys and paths, so separators are not allowed. */
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
    /** A colon or an at sign would make {@code model:adapter@version} ambiguous. */
    private static final Pattern MODEL_ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/-]{0,127}");

    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern IPV4 = Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!$)|$)){4}");
    private static final Pattern IPV6_CHARACTERS = Pattern.compile("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");
    private static final int MAX_PORT = 65_535;

    private FormatValidator() {}

    static boolean isId(String id) {
        return id != null && ID.matcher(id).matches();
    }

    static boolean isModelId(String id) {
        return id != null && MODEL_ID.matcher(id).matches();
    }

    static boolean isDigest(String digest) {
        return digest != null && DIGEST.matcher(digest).matches();
    }

    /** Returns whether the text is {@code ip:port} or {@code [ipv6]:port}; host names are not allowed. */
    static boolean isIpAndPort(String address) {
        if (address == null) {
            return false;
        }
        int colon = address.lastIndexOf(':');
        if (colon < 1 || !isPort(address.substring(colon + 1))) {
            return false;
        }
        String host = address.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            return isIpv6(host.substring(1, host.length() - 1));
        }
        return IPV4.matcher(host).matches();
    }

    private static boolean isPort(String text) {
        if (!text.matches("\\d{1,5}")) {
            return false;
        }
        int port = Integer.parseInt(text);
        return port >= 1 && port <= MAX_PORT;
    }

    private static boolean isIpv6(String text) {
        if (!IPV6_CHARACTERS.matcher(text).matches()) {
            return false;
        }
        try {
            // InetAddress parses a literal in brackets without a name lookup.
            return InetAddress.getByName("[" + text + "]") != null;
        } catch (UnknownHostException e) {
            return false;
        }
    }
}
