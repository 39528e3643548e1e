package org.gooseberryring.ctl.command;

import java.net.URI;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.admin.AdminClient;
import org.gooseberryring.ctl.admin.AdminResponse;
import org.gooseberryring.ctl.admin.NoResponseException;
import org.gooseberryring.ctl.admin.ProblemReader;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.GooseberryringException;

/** Shows the state of each host given by {@code --admin}. */
@Parameters(commandDescription = "Shows the state of each host given by --admin")
final class StatusCommand implements Command {
    private static final String STATUS = "/admin/v1/status";
    private static final String CLEAR_SCREEN = "\u001b[H\u001b[2J";
    private static final String DETAILS = "details";
    private static final String ERROR = "error";
    private static final String ADDRESS = "address";
    private static final long REFRESH_INTERVAL_MILLIS = 2_000;

    @ParametersDelegate
    private AdminOptions options = new AdminOptions();

    @Parameter(names = "--watch", description = "Refreshes the output until interrupted")
    private boolean watch;

    @Override
    public ExitCode run(Context context) {
        AdminClient client = options.client(context);
        if (!watch) {
            return show(context, client, "");
        }
        while (!Thread.currentThread().isInterrupted()) {
            show(context, client, CLEAR_SCREEN);
            context.sleeper().sleep(REFRESH_INTERVAL_MILLIS);
        }
        return ExitCode.DONE;
    }

    @Override
    public boolean isHelpRequested() {
        return options.isHelpRequested();
    }

    private ExitCode show(Context context, AdminClient client, String prefix) {
        ArrayNode hosts = Json.mapper().createArrayNode();
        boolean anyReachable = false;
        for (URI address : client.addresses()) {
            ObjectNode host = status(client, address);
            anyReachable |= !host.has(ERROR);
            hosts.add(host);
        }
        ObjectNode document = Json.mapper().createObjectNode();
        document.set("hosts", hosts);
        if (options.isJson()) {
            context.console().printJson(document);
        } else {
            context.console().print(prefix + JsonTable.render(moveDetailsToTables(document)));
        }
        return anyReachable ? ExitCode.DONE : ExitCode.UNREACHABLE;
    }

    private static ObjectNode status(AdminClient client, URI address) {
        ObjectNode host = Json.mapper().createObjectNode().put(ADDRESS, address.getAuthority());
        try {
            AdminResponse response = client.getOnce(address, STATUS);
            if (!response.isSuccessful()) {
                throw new CtlException(ExitCode.REFUSED, ProblemReader.describe(response));
            }
            Json.readTree(response.body()).properties().forEach(field -> host.set(field.getKey(), field.getValue()));
        } catch (NoResponseException e) {
            host.put(ERROR, "no answer");
        } catch (GooseberryringException e) {
            host.put(ERROR, "unreadable answer");
        }
        return host;
    }

    /** Moves the details of the hosts to tables: one for single values, and one for each group of objects. */
    private static ObjectNode moveDetailsToTables(ObjectNode document) {
        ObjectNode tables = Json.mapper().createObjectNode();
        for (JsonNode host : document.path("hosts")) {
            JsonNode details = ((ObjectNode) host).remove(DETAILS);
            if (details != null) {
                details.properties().forEach(entry -> addDetail(tables, host, entry.getKey(), entry.getValue()));
            }
        }
        return document.setAll(tables);
    }

    private static void addDetail(ObjectNode tables, JsonNode host, String name, JsonNode value) {
        boolean group =
                value.isObject() && !value.isEmpty() && value.valueStream().allMatch(JsonNode::isObject);
        if (!group) {
            addRow(tables, DETAILS, host).put("name", name).set("value", value);
            return;
        }
        value.properties().forEach(entry -> {
            ObjectNode row = addRow(tables, name, host).put("id", entry.getKey());
            entry.getValue().properties().forEach(field -> row.set(field.getKey(), field.getValue()));
        });
    }

    private static ObjectNode addRow(ObjectNode tables, String table, JsonNode host) {
        ObjectNode row = tables.withArray(table).addObject();
        row.set("host", host.path("hostId"));
        return row;
    }
}
