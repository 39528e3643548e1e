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

/** Shows the state of every host that the options name. */
@Parameters(commandDescription = "Shows the state of each host that --admin names")
final class StatusCommand implements Command {
    private static final String STATUS = "/admin/v1/status";
    private static final String CLEAR = "\u001b[H\u001b[2J";
    private static final String DETAILS = "details";
    private static final String ERROR = "error";
    private static final String ADDRESS = "address";
    private static final long INTERVAL_MILLIS = 2_000;

    @ParametersDelegate
    private AdminOptions options = new AdminOptions();

    @Parameter(names = "--watch", description = "Renews the display until interrupted")
    private boolean watch;

    @Override
    public ExitCode run(Context context) {
        AdminClient client = options.client(context);
        if (!watch) {
            return show(context, client, "");
        }
        while (!Thread.currentThread().isInterrupted()) {
            show(context, client, CLEAR);
            context.pause().millis(INTERVAL_MILLIS);
        }
        return ExitCode.DONE;
    }

    @Override
    public boolean help() {
        return options.help();
    }

    private ExitCode show(Context context, AdminClient client, String before) {
        ArrayNode hosts = Json.mapper().createArrayNode();
        boolean reached = false;
        for (URI address : client.addresses()) {
            ObjectNode host = status(client, address);
            reached |= !host.has(ERROR);
            hosts.add(host);
        }
        ObjectNode document = Json.mapper().createObjectNode();
        document.set("hosts", hosts);
        if (options.json()) {
            context.console().json(document);
        } else {
            context.console().print(before + JsonTable.render(withDetailsApart(document)));
        }
        return reached ? ExitCode.DONE : ExitCode.UNREACHABLE;
    }

    private static ObjectNode status(AdminClient client, URI address) {
        ObjectNode host = Json.mapper().createObjectNode().put(ADDRESS, address.getAuthority());
        try {
            AdminResponse answer = client.getOnce(address, STATUS);
            if (!answer.ok()) {
                throw new CtlException(ExitCode.REFUSED, ProblemReader.describe(answer));
            }
            Json.readTree(answer.body()).properties().forEach(field -> host.set(field.getKey(), field.getValue()));
        } catch (NoResponseException e) {
            host.put(ERROR, "no answer");
        } catch (GooseberryringException e) {
            host.put(ERROR, "unreadable answer");
        }
        return host;
    }

    /** Moves the details of each host into tables: one of single figures, and one for each group of objects. */
    private static ObjectNode withDetailsApart(ObjectNode document) {
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
            row(tables, DETAILS, host).put("name", name).set("value", value);
            return;
        }
        value.properties().forEach(entry -> {
            ObjectNode row = row(tables, name, host).put("id", entry.getKey());
            entry.getValue().properties().forEach(field -> row.set(field.getKey(), field.getValue()));
        });
    }

    private static ObjectNode row(ObjectNode tables, String table, JsonNode host) {
        ObjectNode row = tables.withArray(table).addObject();
        row.set("host", host.path("hostId"));
        return row;
    }
}
