package org.gooseberryring.host.caller;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.gooseberryring.state.Artifact;

/** Parses artifact names of the form {@code model[:adapter]@version}. */
public final class ArtifactNames {
    private static final Pattern NAME = Pattern.compile("([^:@]+)(?::([^:@]+))?@([^:@]+)");

    private ArtifactNames() {}

    /** Returns the artifact, or null if the name has another form. */
    public static Artifact parse(String name) {
        Matcher matcher = NAME.matcher(name == null ? "" : name);
        return matcher.matches() ? new Artifact(matcher.group(1), matcher.group(2), matcher.group(3)) : null;
    }
}
