package org.gooseberryring.ctl.admin;

import java.net.URI;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.GooseberryringException;

/** Client of the administration interface that tries the addresses of the hosts in turn. */
public final class AdminClient {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long SINGLE_ATTEMPT_TIMEOUT_MILLIS = 3_000;
    private static final int MAX_ROUNDS = 3;
    private static final long INITIAL_RETRY_DELAY_MILLIS = 200;
    private static final int FIRST_SERVER_ERROR = 500;

    private final HttpCalls calls;
    private final List<URI> addresses;
    private final String token;
    private final Sleeper sleeper;

    /**
     * Creates a client.
     *
     * @param addresses addresses of hosts, tried in turn
     * @param token operator token, or null to send none
     */
    public AdminClient(HttpCalls calls, List<URI> addresses, String token, Sleeper sleeper) {
        this.calls = calls;
        this.addresses = List.copyOf(addresses);
        this.token = token;
        this.sleeper = sleeper;
    }

    /** Reads the configuration in force on a host. */
    public FleetConfiguration configuration() {
        AdminResponse response = requireSuccess(
                send("GET", "/admin/v1/configuration", Map.of(), null).response());
        try {
            return Json.read(response.body(), FleetConfiguration.class);
        } catch (GooseberryringException e) {
            throw new CtlException(
                    ExitCode.UNREACHABLE, "The host returned an unreadable configuration: " + e.getMessage());
        }
    }

    /**
     * Reads a JSON document.
     *
     * @throws CtlException if the request is refused or no host responds
     */
    public JsonNode get(String path) {
        return Json.readTree(
                requireSuccess(send("GET", path, Map.of(), null).response()).body());
    }

    /** Returns the addresses that the client tries in turn. */
    public List<URI> addresses() {
        return addresses;
    }

    /**
     * Reads from one address without retrying.
     *
     * @throws NoResponseException if no complete response arrives
     */
    public AdminResponse getOnce(URI address, String path) {
        return calls.call("GET", address.resolve(path), withToken(Map.of()), null, SINGLE_ATTEMPT_TIMEOUT_MILLIS);
    }

    /** Posts a document that has no side effect, and returns the response even if it is a refusal. */
    public AdminResponse post(String path, Object body) {
        return send("POST", path, Map.of("Content-Type", "application/json"), Json.write(body))
                .response();
    }

    /**
     * Sends a request and retries it at the next address after a failure, for a limited number of rounds.
     *
     * <p>A request with a side effect must carry a change id, so that a retry takes effect only once.
     */
    SendResult send(String method, String path, Map<String, String> headers, byte[] body) {
        Map<String, String> allHeaders = withToken(headers);
        boolean uncertain = false;
        String failure = "no address was given";
        long retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
        for (int round = 0; round < MAX_ROUNDS; round++) {
            for (URI address : addresses) {
                try {
                    AdminResponse response =
                            calls.call(method, address.resolve(path), allHeaders, body, TIMEOUT_MILLIS);
                    if (response.status() < FIRST_SERVER_ERROR) {
                        return new SendResult(response, uncertain);
                    }
                    uncertain |= !ProblemReader.isNotExecuted(response);
                    failure = address.getAuthority() + " responded " + ProblemReader.describe(response);
                } catch (NoResponseException e) {
                    uncertain |= e.mayHaveBeenSent();
                    failure = e.getMessage();
                }
            }
            sleeper.sleep(retryDelayMillis);
            retryDelayMillis *= 2;
        }
        String effect = uncertain && !"GET".equals(method) ? "; the request may have taken effect" : "";
        throw new CtlException(ExitCode.UNREACHABLE, "No host can handle the request: " + failure + effect);
    }

    /**
     * Returns the response if it is successful.
     *
     * @throws CtlException if it is a refusal
     */
    static AdminResponse requireSuccess(AdminResponse response) {
        if (!response.isSuccessful()) {
            throw new CtlException(ExitCode.REFUSED, ProblemReader.describe(response));
        }
        return response;
    }

    private Map<String, String> withToken(Map<String, String> headers) {
        Map<String, String> allHeaders = new LinkedHashMap<>(headers);
        if (token != null) {
            allHeaders.put("Authorization", "Bearer " + token);
        }
        return allHeaders;
    }

    /** Response, and whether an earlier attempt may have taken effect. */
    record SendResult(AdminResponse response, boolean earlierAttemptMayHaveRun) {}
}
