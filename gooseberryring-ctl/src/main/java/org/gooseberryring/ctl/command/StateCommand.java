package org.gooseberryring.ctl.command;

import java.util.List;
import java.util.function.Function;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.state.Change;

/** Command that changes the state of one failure domain or endpoint. */
@Parameters(commandDescription = "Changes the state of a failure domain or endpoint")
final class StateCommand implements Command {
    private final Function<String, Change> change;
    private final String resultText;

    @ParametersDelegate
    private ChangeOptions options = new ChangeOptions();

    @Parameter(description = "ID", required = true)
    private String id;

    private StateCommand(Function<String, Change> change, String resultText) {
        this.change = change;
        this.resultText = resultText;
    }

    static StateCommand domainOut() {
        return new StateCommand(id -> new Change.SetFailureDomainIn(id, false), "is out of service");
    }

    static StateCommand domainIn() {
        return new StateCommand(id -> new Change.SetFailureDomainIn(id, true), "is in service");
    }

    static StateCommand endpointDrain() {
        return new StateCommand(id -> new Change.SetEndpointLeaving(id, true), "is draining");
    }

    static StateCommand endpointActivate() {
        return new StateCommand(id -> new Change.SetEndpointLeaving(id, false), "is active");
    }

    @Override
    public ExitCode run(Context context) {
        return options.submitAndPrint(context, id + " " + resultText, List.of(change.apply(id)), (before, now) -> true);
    }

    @Override
    public boolean isHelpRequested() {
        return options.admin().isHelpRequested();
    }
}
