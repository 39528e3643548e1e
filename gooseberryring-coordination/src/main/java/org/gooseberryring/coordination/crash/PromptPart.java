package org.gooseberryring.coordination.crash;

import java.util.List;

import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;

/**
 * Part of a prompt that several requests to a service may have.
 *
 * @param service service whose endpoints process the part
 * @param id identifier of the content
 */
public record PromptPart(String service, long id) {
    /** Returns the parts of a request in order, without the last one, which belongs to the request itself. */
    public static List<PromptPart> of(RequestSpec spec) {
        if (!(spec.target() instanceof RequestTarget.RoutedTarget target)) {
            return List.of();
        }
        return spec.handling().prompt().sharedParts().stream()
                .map(part -> new PromptPart(target.service(), part.id()))
                .distinct()
                .toList();
    }

    @Override
    public String toString() {
        return service + '/' + Long.toHexString(id);
    }
}
