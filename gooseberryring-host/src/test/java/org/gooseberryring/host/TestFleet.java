package org.gooseberryring.host;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberryring.host.caller.Digests;
import org.gooseberryring.host.settings.SettingsReader;
import org.gooseberryring.protocol.ChangeRequest;
import org.gooseberryring.protocol.HostEntry;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.standins.EngineSettings;
import org.gooseberryring.standins.EngineStandIn;
import org.gooseberryring.standins.PlatformStandIn;
import org.gooseberryring.standins.ServiceStandIn;
import org.gooseberryring.standins.WeightStoreStandIn;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.Model;
import org.gooseberryring.state.Organisation;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.state.ServiceRoute;
import org.gooseberryring.state.SheetRow;

/** Starts stand-ins and hosts for one test on free ports of the loopback address. */
public final class TestFleet implements AutoCloseable {
    /** API key of the organisation. */
    public static final String KEY = "key-of-inkingi";
    /** Token of the operator. */
    public static final String OPERATOR = "token-of-ann";

    private static final long GIB = 1L << 30;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final PlatformStandIn platform = new PlatformStandIn(0).start();
    private final WeightStoreStandIn weights;
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final ServiceStandIn desk = new ServiceStandIn("desk", 0).start();
    private final List<Host> hosts = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final Path directory;

    /** Starts the platform and the plain service. */
    public TestFleet(Path directory) throws IOException {
        this.directory = directory;
        this.weights = new WeightStoreStandIn(1000, 6, 5, 50);
        Files.writeString(directory.resolve("secret"), "a-shared-secret-of-at-least-32-bytes");
    }

    public PlatformStandIn platform() {
        return platform;
    }

    public ServiceStandIn desk() {
        return desk;
    }

    public EngineStandIn engineAt(int index) {
        return engines.get(index);
    }

    public HttpClient client() {
        return client;
    }

    /** Starts an engine that has loaded the model {@code m}. */
    public EngineStandIn engine(EngineSettings settings) {
        EngineStandIn engine = new EngineStandIn(settings, weights, 1).start();
        engine.preload(new Artifact("m", null, "1"), GIB);
        engines.add(engine);
        return engine;
    }

    public EngineStandIn engine(String id) {
        return engine(EngineSettings.of(id, 16 * GIB, 32));
    }

    /** Starts a host; {@code overrides} are merged into its settings. */
    public Host host(String id, String domain, String overrides) throws IOException {
        Host host = Host.start(SettingsReader.read(settings(id, domain, overrides)));
        hosts.add(host);
        platform.putHost(new HostEntry(id, domain, address(host.peerAddress()), address(host.relayAddress()), "live"));
        return host;
    }

    /** Writes the settings of a host; {@code overrides} are merged into them. */
    public Path settings(String id, String domain, String overrides) throws IOException {
        ObjectNode settings = (ObjectNode) Json.readTree(overrides.getBytes());
        settings.put("hostId", id);
        settings.put("failureDomain", domain);
        for (String name : List.of("callerAddress", "adminAddress", "peerAddress", "relayAddress")) {
            settings.put(name, "127.0.0.1:0");
        }
        settings.put("platformUri", "http://" + platform.address());
        settings.put("peerSecretFile", "secret");
        settings.putArray("operatorTokens").addObject().put("name", "ann").put("digest", sha256(OPERATOR));
        Path file = directory.resolve(id + ".json");
        Files.write(file, Json.write(settings));
        return file;
    }

    /** Configures one organisation, the model {@code m} on all engines, and the service {@code desk}. */
    public void configure(Host host) throws Exception {
        configure(host, 32);
    }

    /** Same as {@link #configure(Host)} with the given concurrency per engine. */
    public void configure(Host host, int concurrency) throws Exception {
        List<Change> changes = new ArrayList<>();
        changes.add(new Change.PutOrganisation(new Organisation(
                "inkingi", 1_000_000, 1_000_000, 1, List.of(PriorityClass.NORMAL, PriorityClass.HIGH))));
        changes.add(new Change.IssueKey(sha256(KEY), "inkingi", "test"));
        changes.add(new Change.PutFailureDomain(new FailureDomain("d1", "r1", true)));
        changes.add(new Change.PutFailureDomain(new FailureDomain("d2", "r1", true)));
        for (EngineStandIn engine : engines) {
            changes.add(new Change.PutEndpoint(new Endpoint(
                    engine.id(), EndpointKind.MODEL, "d1", engine.address(), 16 * GIB, concurrency, true, false)));
        }
        changes.add(new Change.PutEndpoint(
                new Endpoint("desk", EndpointKind.SERVICE, "d1", desk.address(), 0, 32, false, false)));
        changes.add(
                new Change.PutService(new ServiceRoute("desk", List.of("desk"), List.of("/open"), List.of("/status"))));
        changes.add(new Change.PutModel(new Model("m", GIB, List.of("1"), "1", List.of(), true)));
        if (!engines.isEmpty()) {
            changes.add(new Change.ReplaceSheet(List.of(new SheetRow(
                    new Artifact("m", null, "1"),
                    engines.size(),
                    engines.stream().map(EngineStandIn::id).toList()))));
        }
        HttpResponse<String> response =
                change(host, host.configuration().current().revision(), "setup", changes);
        if (response.statusCode() != 200) {
            throw new AssertionError(response.body());
        }
        long revision =
                Json.readTree(response.body().getBytes()).get("revision").asLong();
        for (Host h : hosts) {
            await(() -> h.configuration().current().revision() >= revision);
        }
        await(() -> hosts.stream().allMatch(Host::isReady));
    }

    /** Sends changes to the administration interface. */
    public HttpResponse<String> change(Host host, long revision, String id, List<Change> changes) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri(host.adminAddress(), "/admin/v1/changes"))
                .header("Authorization", "Bearer " + OPERATOR)
                .header("If-Match", "\"" + revision + "\"")
                .header("X-Change-Id", id)
                .POST(HttpRequest.BodyPublishers.ofByteArray(Json.write(new ChangeRequest("ann", "test", changes))))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Reads a path of the administration interface. */
    public HttpResponse<String> admin(Host host, String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri(host.adminAddress(), path))
                .header("Authorization", "Bearer " + OPERATOR)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Builds a completion request with the key of the organisation. */
    public HttpRequest.Builder completion(Host host, String prompt, int tokens, boolean stream) {
        byte[] body = Json.write(Map.of("model", "m", "prompt", prompt, "max_tokens", tokens, "stream", stream));
        return HttpRequest.newBuilder(uri(host.callerAddress(), "/v1/completions"))
                .header("Authorization", "Bearer " + KEY)
                .POST(HttpRequest.BodyPublishers.ofByteArray(body));
    }

    /** Builds a request to the plain service with the key of the organisation. */
    public HttpRequest.Builder service(Host host, String method, String path) {
        return HttpRequest.newBuilder(uri(host.callerAddress(), "/services/desk" + path))
                .header("Authorization", "Bearer " + KEY)
                .method(method, HttpRequest.BodyPublishers.ofString("order"));
    }

    public HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return client.send(request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the JSON entry of a host for the setting {@code peerSeeds}. */
    public static String seed(String id, String domain, Host host) {
        return Json.writeString(Map.of(
                "id",
                id,
                "failureDomain",
                domain,
                "peerAddress",
                address(host.peerAddress()),
                "relayAddress",
                address(host.relayAddress())));
    }

    public static String text(HttpResponse<String> response) {
        JsonNode node = Json.readTree(response.body().getBytes());
        return node.path("choices").path(0).path("text").asText();
    }

    public static String code(HttpResponse<String> response) {
        JsonNode node = Json.readTree(response.body().getBytes());
        return node.path("code").asText() + " " + node.path("verdict").asText();
    }

    public static URI uri(InetSocketAddress address, String path) {
        return URI.create("http://127.0.0.1:" + address.getPort() + path);
    }

    /** Waits until the condition is true and fails after a time-out. */
    public static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("the condition was not met within the time-out");
            }
            LockSupport.parkNanos(1_000_000);
        }
    }

    private static String address(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    public static String sha256(String key) {
        return Digests.hex(key);
    }

    @Override
    public void close() {
        hosts.forEach(Host::close);
        engines.forEach(EngineStandIn::close);
        desk.close();
        platform.close();
    }
}
