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

/** Calls the administration interface, trying the addresses in turn. */
public final class AdminClient {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long ONCE_MILLIS = 3_000;
    private static final int ROUNDS = 3;
    private static final long FIRST_PAUSE_MILLIS = 200;
    private static final int FIRST_SERVER_ERROR = 500;

    private final HttpCalls calls;
    private final List<URI> addresses;
    private final String token;
    private final Sleeper pause;

    /**
     * Creates a client.
     *
     * @param addresses addresses of hosts, tried in turn
     * @param token operator token, or null to send none
     */
    public AdminClient(HttpCalls calls, List<URI> addresses, String token, Sleeper pause) {
        this.calls = calls;
        this.addresses = List.copyOf(addresses);
        this.token = token;
        this.pause = pause;
    }

    /** Reads the configuration that a host follows. */
    public FleetConfiguration configuration() {
        AdminResponse answer =
                accepted(send("GET", "/admin/v1/configuration", Map.of(), null).answer());
        try {
            return Json.read(answer.body(), FleetConfiguration.class);
        } catch (GooseberryringException e) {
            throw new CtlException(
                    ExitCode.UNREACHABLE, "The host answered with an unreadable configuration: " + e.getMessage());
        }
    }

    /** Reads a document of the administration interface. */
    public JsonNode get(String path) {
        return Json.readTree(
                accepted(send("GET", path, Map.of(), null).answer()).body());
    }

    /** Returns the addresses that the client tries in turn. */
    public List<URI> addresses() {
        return addresses;
    }

    /**
     * Reads from one address without a repetition.
     *
     * @throws NoResponseException if it does not answer
     */
    public AdminResponse getOnce(URI address, String path) {
        return calls.call("GET", address.resolve(path), withToken(Map.of()), null, ONCE_MILLIS);
    }

    /** Posts a document that changes nothing, and returns the answer even if it is a refusal. */
    public AdminResponse post(String path, Object body) {
        return send("POST", path, Map.of("Content-Type", "application/json"), Json.write(body))
                .answer();
    }

    /**
     * Sends a call, again to the next address when one fails, in a bounded number of rounds.
     *
     * <p>A call that changes something must carry a change id, so that a repetition has no second effect.
     */
    Sent send(String method, String path, Map<String, String> headers, byte[] body) {
        Map<String, String> all = withToken(headers);
        boolean uncertain = false;
        String failure = "no address was given";
        long pauseMillis = FIRST_PAUSE_MILLIS;
        for (int round = 0; round < ROUNDS; round++) {
            for (URI address : addresses) {
                try {
                    AdminResponse answer = calls.call(method, address.resolve(path), all, body, TIMEOUT_MILLIS);
                    if (answer.status() < FIRST_SERVER_ERROR) {
                        return new Sent(answer, uncertain);
                    }
                    uncertain |= !ProblemReader.notRun(answer);
                    failure = address.getAuthority() + " answered " + ProblemReader.describe(answer);
                } catch (NoResponseException e) {
                    uncertain |= e.mayHaveBeenSent();
                    failure = e.getMessage();
                }
            }
            pause.millis(pauseMillis);
            pauseMillis *= 2;
        }
        String effect = uncertain && !"GET".equals(method) ? "; the request may have taken effect" : "";
        throw new CtlException(ExitCode.UNREACHABLE, "No host can answer: " + failure + effect);
    }

    /** Returns an answer that is not a refusal. */
    static AdminResponse accepted(AdminResponse answer) {
        if (!answer.ok()) {
            throw new CtlException(ExitCode.REFUSED, ProblemReader.describe(answer));
        }
        return answer;
    }

    private Map<String, String> withToken(Map<String, String> headers) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        if (token != null) {
            all.put("Authorization", "Bearer " + token);
        }
        return all;
    }

    /** Answer, and whether an earlier attempt may have taken effect. */
    record Sent(AdminResponse answer, boolean earlierMayHaveRun) {}
}
