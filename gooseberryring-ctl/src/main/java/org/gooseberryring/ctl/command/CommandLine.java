package org.gooseberryring.ctl.command;

import java.util.LinkedHashMap;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.demo.DemoCommand;
import org.gooseberryring.ctl.demo.DemoPrepareCommand;
import org.gooseberryring.ctl.demo.DemoTryCommand;
import org.gooseberryring.ctl.demo.DemoWaitCommand;
import org.gooseberryring.ctl.explain.ExplainCommand;
import org.gooseberryring.ctl.replay.ReplayCommand;
import org.gooseberryring.ctl.replay.TraceGenerateCommand;

/** Parses the arguments and runs the selected command. */
public final class CommandLine {
    private static final String PROGRAM = "gooseberryctl";
    private static final String EXIT_CODES = """

              Exit codes:
                0  done
                1  refused by the system; nothing was changed
                2  wrong arguments or input; nothing was sent
                3  conflict with another change; nothing was changed
                4  no host responded; a change that was sent may have taken effect (retry it with --change-id)""";

    private final Context context;

    public CommandLine(Context context) {
        this.context = context;
    }

    /** Runs the command and returns its exit code. */
    public ExitCode run(String... args) {
        Root root = new Root();
        JCommander commander = build(root);
        try {
            commander.parse(args);
            return run(root, commander);
        } catch (ParameterException e) {
            context.console().printError(e.getMessage() + "\nRun " + PROGRAM + " --help for the usage.");
            return ExitCode.BAD_INPUT;
        } catch (CtlException e) {
            context.console().printError(e.getMessage());
            return e.exitCode();
        }
    }

    private ExitCode run(Root root, JCommander commander) {
        JCommander leaf = commander;
        while (leaf.getParsedCommand() != null) {
            leaf = leaf.getCommands().get(leaf.getParsedCommand());
        }
        Object object = leaf.getObjects().get(0);
        if (!(object instanceof Command command)) {
            boolean help = root.help || object instanceof Group group && group.help;
            printSummary(leaf);
            return help ? ExitCode.DONE : ExitCode.BAD_INPUT;
        }
        if (command.isHelpRequested()) {
            printUsage(leaf);
            return ExitCode.DONE;
        }
        return command.run(context);
    }

    private void printUsage(JCommander commander) {
        StringBuilder text = new StringBuilder();
        commander.getUsageFormatter().usage(text);
        context.console().print(text.toString().stripTrailing() + EXIT_CODES);
    }

    private void printSummary(JCommander commander) {
        StringBuilder text = new StringBuilder(
                "Usage: " + PROGRAM + " COMMAND [options]\n  Commands (COMMAND --help prints its options):\n");
        appendCommands(
                text, commander, commander.getProgramName().equals(PROGRAM) ? "" : commander.getProgramName() + " ");
        context.console().print(text.toString().stripTrailing() + EXIT_CODES);
    }

    private static void appendCommands(StringBuilder text, JCommander commander, String prefix) {
        commander.getCommands().forEach((name, command) -> {
            Parameters parameters = command.getObjects().get(0).getClass().getAnnotation(Parameters.class);
            if (!command.getCommands().isEmpty()) {
                appendCommands(text, command, prefix + name + " ");
            } else if (!parameters.hidden()) {
                text.append(String.format("    %-20s %s%n", prefix + name, parameters.commandDescription()));
            }
        });
    }

    private static JCommander build(Root root) {
        JCommander commander = new JCommander(root);
        commander.setProgramName(PROGRAM);
        addGroup(commander, "sheet", commands("plan", new SheetCommand.Plan(), "apply", new SheetCommand.Apply()));
        addGroup(commander, "key", commands("issue", new KeyCommand.Issue(), "withdraw", new KeyCommand.Withdraw()));
        addGroup(commander, "domain", commands("out", StateCommand.domainOut(), "in", StateCommand.domainIn()));
        addGroup(
                commander,
                "endpoint",
                commands("drain", StateCommand.endpointDrain(), "activate", StateCommand.endpointActivate()));
        commander.addCommand("apply", new ApplyCommand());
        commander.addCommand("status", new StatusCommand());
        commander.addCommand("audit", new AuditCommand());
        commander.addCommand("explain", new ExplainCommand());
        commander.addCommand("replay", new ReplayCommand());
        commander.addCommand("trace", new Group());
        commander.getCommands().get("trace").addCommand("generate", new TraceGenerateCommand());
        commander.addCommand("demo", new DemoCommand());
        commander.addCommand("demo-prepare", new DemoPrepareCommand());
        commander.addCommand("demo-wait", new DemoWaitCommand());
        commander.addCommand("demo-try", new DemoTryCommand());
        return commander;
    }

    private static Map<String, Command> commands(String name, Command command, String other, Command otherCommand) {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put(name, command);
        commands.put(other, otherCommand);
        return commands;
    }

    private static void addGroup(JCommander parent, String name, Map<String, Command> commands) {
        parent.addCommand(name, new Group());
        JCommander group = parent.getCommands().get(name);
        commands.forEach(group::addCommand);
    }

    /** Options that are accepted without a command. */
    private static final class Root {
        @Parameter(names = "--help", help = true, description = "Prints the usage")
        private boolean help;
    }

    /** Command that only groups others. */
    private static final class Group {
        @Parameter(names = "--help", help = true, description = "Prints the usage")
        private boolean help;
    }
}
