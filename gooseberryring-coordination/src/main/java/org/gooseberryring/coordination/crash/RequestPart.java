package org.gooseberryring.coordination.crash;

import java.util.HexFormat;
import java.util.List;

import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;

/**
 * Part of a request against which crashes of endpoints count.
 *
 * @param service service whose endpoints process the part
 * @param kind kind of the part
 * @param id identifier of the content
 */
public record RequestPart(String service, Kind kind, long id) {
    private static final int ID_DIGITS = 16;

    /** Kind of a part. */
    public enum Kind {
        /** Part of a prompt that different requests may have. */
        PROMPT_PART,

        /** Whole request, which callers may repeat. */
        WHOLE_REQUEST
    }

    /** Creates a part of a prompt. */
    public RequestPart(String service, long id) {
        this(service, Kind.PROMPT_PART, id);
    }

    /** Returns the parts of the prompt in order, without the last one, which belongs to the request itself. */
    public static List<RequestPart> ofPrompt(RequestSpec spec) {
        if (!(spec.target() instanceof RequestTarget.RoutedTarget target)) {
            return List.of();
        }
        return spec.handling().prompt().sharedParts().stream()
                .map(part -> new RequestPart(target.service(), part.id()))
                .distinct()
                .toList();
    }

    /** Returns the whole request, null if it is not for a service of a deployment. */
    public static RequestPart ofWhole(RequestSpec spec) {
        return spec.target() instanceof RequestTarget.RoutedTarget target
                ? ofWhole(target.service(), spec.digest())
                : null;
    }

    /** Returns the whole request with a digest, of which the first 64 bits are sufficient. */
    public static RequestPart ofWhole(String service, String digest) {
        return new RequestPart(service, Kind.WHOLE_REQUEST, HexFormat.fromHexDigitsToLong(digest, 0, ID_DIGITS));
    }

    /** Returns whether this is a whole request. */
    public boolean isWholeRequest() {
        return kind == Kind.WHOLE_REQUEST;
    }

    @Override
    public String toString() {
        return service + (isWholeRequest() ? "#request/" : "/") + Long.toHexString(id);
    }
}
