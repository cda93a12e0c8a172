package org.magnoliaseam.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.caller.ChatBody;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.exchange.AuthenticatedRequest;
import org.magnoliaseam.exchange.ForwardPurpose;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.ModelId;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.RequestClass;

/** Converts requests to and from the form in which entry VMs forward them to each other. */
final class Forwarding {

    /** The header field with the number of tokens that the caller already has. */
    static final String RESUME_HEADER = "X-Resume-Offset";

    /** The header field that states whether the caller requested server-sent events. */
    private static final String STREAM_HEADER = "X-Stream";

    /** Prevents instances of this utility class. */
    private Forwarding() {}

    /**
     * Converts a request for a peer with free slots that will run it. The peer returns a chat
     * answer as events, which this entry VM validates and relays in the form that the caller
     * requested.
     *
     * @param request the request
     * @param from this entry VM
     * @param tokens the number of tokens that the caller already has
     * @param nowNanos the local monotonic time
     * @return the converted request
     */
    static ForwardedRequest handOver(
            AuthenticatedRequest request, VmId from, int tokens, long nowNanos) {
        List<Header> headers = new ArrayList<>(request.headers());
        headers.add(new Header(RESUME_HEADER, Integer.toString(tokens)));
        headers.add(new Header(STREAM_HEADER, "true"));
        return convert(request, ForwardPurpose.HAND_OVER, from, headers, nowNanos);
    }

    /**
     * Converts a request for the entry VM that issued its ticket and will run it.
     *
     * @param request the request
     * @param from this entry VM
     * @param nowNanos the local monotonic time
     * @return the converted request
     */
    static ForwardedRequest toTicketIssuer(AuthenticatedRequest request, VmId from, long nowNanos) {
        List<Header> headers = new ArrayList<>(request.headers());
        headers.add(new Header(STREAM_HEADER, Boolean.toString(request.stream())));
        return convert(request, ForwardPurpose.TICKET_HOME, from, headers, nowNanos);
    }

    /**
     * Converts a request that a peer has forwarded.
     *
     * @param forwarded the forwarded request
     * @param configuration the configuration in force here
     * @param nowNanos the local monotonic time
     * @return the request, or the refusal
     */
    static Result<AuthenticatedRequest, Refusal> receive(
            ForwardedRequest forwarded, Configuration configuration, long nowNanos) {
        RequestClass requestClass = configuration.classes().get(forwarded.requestClass());
        if (requestClass == null) {
            return Result.err(Refusal.of(ErrorKind.UNKNOWN_CLASS));
        }
        Optional<ModelId> model = Optional.empty();
        long affinityKey = 0;
        if (requestClass.service().isEmpty()) {
            Result<ChatBody, Refusal> chat = ChatBody.parse(forwarded.body());
            if (chat instanceof Result.Err<ChatBody, Refusal> err) {
                return Result.err(err.error());
            }
            ChatBody body = ((Result.Ok<ChatBody, Refusal>) chat).value();
            model = Optional.of(body.model());
            affinityKey = body.affinityKey();
        }
        long waitedNanos = TimeUnit.MILLISECONDS.toNanos(forwarded.waitedMillis());
        return Result.ok(
                new AuthenticatedRequest(
                        forwarded.id(),
                        forwarded.account(),
                        requestClass,
                        forwarded.method(),
                        forwarded.path(),
                        withoutInternalHeaders(forwarded.headers()),
                        forwarded.body(),
                        Boolean.parseBoolean(header(forwarded, STREAM_HEADER, "false")),
                        model,
                        affinityKey,
                        forwarded.ticket(),
                        nowNanos - waitedNanos,
                        Optional.of(forwarded.purpose())));
    }

    /**
     * Returns the number of tokens that the caller of a forwarded request already has.
     *
     * @param forwarded the forwarded request
     * @return the number of tokens
     */
    static int resumeOffset(ForwardedRequest forwarded) {
        return Integer.parseInt(header(forwarded, RESUME_HEADER, "0"));
    }

    /**
     * Converts a request.
     *
     * @param request the request
     * @param purpose the reason for forwarding the request
     * @param from this entry VM
     * @param headers the header fields
     * @param nowNanos the local monotonic time
     * @return the converted request
     */
    private static ForwardedRequest convert(
            AuthenticatedRequest request,
            ForwardPurpose purpose,
            VmId from,
            List<Header> headers,
            long nowNanos) {
        long waitedNanos = nowNanos - request.arrivedNanos();
        return new ForwardedRequest(
                request.id(),
                purpose,
                from,
                request.account(),
                request.requestClass().id(),
                request.ticket(),
                request.method(),
                request.path(),
                headers,
                request.body(),
                TimeUnit.NANOSECONDS.toMillis(waitedNanos));
    }

    /**
     * Removes the header fields that are used only between entry VMs.
     *
     * @param headers the header fields
     * @return the other header fields
     */
    private static List<Header> withoutInternalHeaders(List<Header> headers) {
        return headers.stream()
                .filter(field -> !field.name().equals(STREAM_HEADER))
                .filter(field -> !field.name().equals(RESUME_HEADER))
                .toList();
    }

    /**
     * Returns a header field.
     *
     * @param forwarded the forwarded request
     * @param name the field name
     * @param fallback the value if the field is missing
     * @return the value
     */
    private static String header(ForwardedRequest forwarded, String name, String fallback) {
        return forwarded.headers().stream()
                .filter(field -> field.name().equals(name))
                .map(Header::value)
                .findFirst()
                .orElse(fallback);
    }
}
