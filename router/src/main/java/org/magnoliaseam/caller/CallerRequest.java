package org.magnoliaseam.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Request;
import org.magnoliaseam.error.ErrorKind;
import org.magnoliaseam.error.Refusal;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.exchange.AuthenticatedRequest;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.ModelId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.ServiceName;
import org.magnoliaseam.settings.ClientAccount;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.RequestClass;

/**
 * Holds an authenticated HTTP request of a caller.
 *
 * @param request the HTTP request
 * @param id the id assigned to the request
 * @param configuration the configuration at the time of arrival
 * @param account the client account
 * @param arrivedNanos the local monotonic time of arrival
 */
record CallerRequest(
        Request request,
        RequestId id,
        Configuration configuration,
        ClientAccount account,
        long arrivedNanos) {

    /** The header field that names the request class. */
    private static final String CLASS_HEADER = "X-Request-Class";

    /** The request header fields that are not forwarded to plain services, in lower case. */
    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "authorization",
                    "connection",
                    "content-length",
                    "expect",
                    "host",
                    "keep-alive",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "x-priority",
                    "x-request-id",
                    "x-resume-offset",
                    "x-ticket");

    /** Parses JSON. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Finds the request class named in the body of a request for a ticket.
     *
     * @param body the body
     * @return the class, or the refusal
     */
    Result<RequestClass, Refusal> classNamedIn(byte[] body) {
        try {
            JsonNode root = MAPPER.readTree(body);
            return selector().findClass(root.path("class").asText());
        } catch (IOException e) {
            return Result.err(Refusal.of(ErrorKind.INVALID_JSON));
        }
    }

    /**
     * Converts the request to a form that does not depend on the HTTP server.
     *
     * @param endpoint the endpoint
     * @param body the body
     * @return the request, or the refusal
     */
    Result<AuthenticatedRequest, Refusal> parse(CallerEndpoint endpoint, byte[] body) {
        if (endpoint == CallerEndpoint.CHAT) {
            return ChatBody.parse(body).fold(this::chat, Result::err);
        }
        String path = Request.getPathInContext(request);
        ServiceName service = new ServiceName(endpoint.serviceName(path));
        return selector()
                .forService(service, request.getMethod())
                .fold(requestClass -> Result.ok(plain(requestClass, service, body)), Result::err);
    }

    /**
     * Converts a chat request.
     *
     * @param chat the parsed body
     * @return the request, or the refusal
     */
    private Result<AuthenticatedRequest, Refusal> chat(ChatBody chat) {
        return selector()
                .forModel(chat.model())
                .fold(
                        requestClass ->
                                Result.ok(
                                        incoming(
                                                requestClass,
                                                "/v1/chat/completions",
                                                List.of(),
                                                chat.engineBody(),
                                                chat.stream(),
                                                Optional.of(chat.model()),
                                                chat.affinityKey())),
                        Result::err);
    }

    /**
     * Converts a plain-service request.
     *
     * @param requestClass the request class
     * @param service the service
     * @param body the body
     * @return the request
     */
    private AuthenticatedRequest plain(
            RequestClass requestClass, ServiceName service, byte[] body) {
        String pathAndQuery = request.getHttpURI().getPathQuery();
        String path = pathAndQuery.substring("/services/".length() + service.value().length());
        List<Header> headers = new ArrayList<>();
        for (HttpField field : request.getHeaders()) {
            if (!NOT_FORWARDED.contains(field.getName().toLowerCase(Locale.ROOT))) {
                headers.add(new Header(field.getName(), field.getValue()));
            }
        }
        String target = path.startsWith("/") ? path : "/" + path;
        return incoming(requestClass, target, headers, body, false, Optional.empty(), 0);
    }

    /**
     * Creates the converted request.
     *
     * @param requestClass the request class
     * @param path the path for the backend server
     * @param headers the header fields to forward
     * @param body the body for the backend server
     * @param stream whether the caller wants server-sent events
     * @param model the requested model; empty for plain services
     * @param affinityKey the hash of the prompt prefix; 0 if none
     * @return the request
     */
    private AuthenticatedRequest incoming(
            RequestClass requestClass,
            String path,
            List<Header> headers,
            byte[] body,
            boolean stream,
            Optional<ModelId> model,
            long affinityKey) {
        String ticket = request.getHeaders().get(CallerSink.TICKET_HEADER);
        return new AuthenticatedRequest(
                id,
                account.id(),
                requestClass,
                request.getMethod(),
                path,
                headers,
                body,
                stream,
                model,
                affinityKey,
                ticket == null ? "" : ticket,
                arrivedNanos,
                Optional.empty());
    }

    /**
     * Creates the selector for the request class of this request.
     *
     * @return the selector
     */
    private ClassSelector selector() {
        return new ClassSelector(configuration, account, request.getHeaders().get(CLASS_HEADER));
    }
}
