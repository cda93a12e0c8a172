package org.magnoliaseam.testbed.harness;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.magnoliaseam.testbed.http.Json;
import org.magnoliaseam.testbed.http.ListenAddress;

/** Sends requests to entry VMs as callers do. Hundreds of requests may be in progress at once. */
public final class CallerClient implements AutoCloseable {

    /** The default timeout of callers in milliseconds. */
    public static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

    /** The largest number of connections, and of queued requests, to one entry VM. */
    private static final int MAX_CONNECTIONS = 2048;

    /** The largest number of threads of the client. */
    private static final int MAX_THREADS = 16;

    /** The client. */
    private final HttpClient mClient = new HttpClient();

    /**
     * Starts a client.
     *
     * @throws IllegalStateException if the client cannot be started
     */
    public CallerClient() {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);
        threads.setDaemon(true);
        mClient.setExecutor(threads);
        mClient.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        mClient.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS);
        try {
            mClient.start();
            mClient.getProtocolHandlers().clear();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Returns HTTP calls that use the same client.
     *
     * @return the calls
     */
    public HttpCalls calls() {
        return new HttpCalls(mClient);
    }

    /**
     * Sends a chat request and waits for its answer.
     *
     * @param entry the callers' port of an entry VM
     * @param call the request
     * @return the answer
     */
    public CallerAnswer chat(ListenAddress entry, ChatCall call) {
        return chatAsync(entry, call, CallSchedule.now(DEFAULT_TIMEOUT_MILLIS)).join();
    }

    /**
     * Sends a chat request.
     *
     * @param entry the callers' port of an entry VM
     * @param call the request
     * @param due the time at which the request is due and the caller's timeout
     * @return the answer; it never fails
     */
    public CompletableFuture<CallerAnswer> chatAsync(
            ListenAddress entry, ChatCall call, CallSchedule due) {
        Request request = request(entry, "POST", "/v1/chat/completions", call.key(), call.body());
        call.requestClass().ifPresent(name -> header(request, "X-Request-Class", name));
        return send(request, due, call.stream());
    }

    /**
     * Requests a ticket.
     *
     * @param entry the callers' port of an entry VM
     * @param key the key of the client account
     * @param requestClass the request class
     * @return the answer; its JSON body holds the ticket
     */
    public CallerAnswer ticket(ListenAddress entry, String key, String requestClass) {
        return ticketAsync(entry, key, requestClass, CallSchedule.now(DEFAULT_TIMEOUT_MILLIS))
                .join();
    }

    /**
     * Requests a ticket.
     *
     * @param entry the callers' port of an entry VM
     * @param key the key of the client account
     * @param requestClass the request class
     * @param due the time at which the request is due and the caller's timeout
     * @return the answer; its JSON body holds the ticket
     */
    public CompletableFuture<CallerAnswer> ticketAsync(
            ListenAddress entry, String key, String requestClass, CallSchedule due) {
        String body = Json.write(new TicketBody(requestClass));
        Request request = request(entry, "POST", "/v1/tickets", key, body);
        return send(request, due, false);
    }

    /**
     * Sends a request to a plain service and waits for its answer.
     *
     * @param entry the callers' port of an entry VM
     * @param call the request
     * @return the answer
     */
    public CallerAnswer service(ListenAddress entry, ServiceCall call) {
        return serviceAsync(entry, call, CallSchedule.now(DEFAULT_TIMEOUT_MILLIS)).join();
    }

    /**
     * Sends a request to a plain service.
     *
     * @param entry the callers' port of an entry VM
     * @param call the request
     * @param due the time at which the request is due and the caller's timeout
     * @return the answer; it never fails
     */
    public CompletableFuture<CallerAnswer> serviceAsync(
            ListenAddress entry, ServiceCall call, CallSchedule due) {
        Request request = request(entry, call.method(), call.path(), call.key(), call.body());
        call.ticket().ifPresent(ticket -> header(request, "X-Ticket", ticket));
        return send(request, due, false);
    }

    @Override
    public void close() {
        try {
            mClient.stop();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Prepares a request.
     *
     * @param entry the callers' port of an entry VM
     * @param method the HTTP method
     * @param path the path
     * @param key the key of the client account, empty for none
     * @param body the body, empty for none
     * @return the request
     */
    private Request request(
            ListenAddress entry, String method, String path, String key, String body) {
        Request request = mClient.newRequest("http://" + entry + path).method(method);
        if (!key.isEmpty()) {
            header(request, "Authorization", "Bearer " + key);
        }
        if (!body.isEmpty()) {
            request.body(new StringRequestContent("application/json", body));
        }
        return request;
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param due the time at which the request is due and the caller's timeout
     * @param events whether the answer is a stream of events
     * @return the answer
     */
    private static CompletableFuture<CallerAnswer> send(
            Request request, CallSchedule due, boolean events) {
        AnswerReader reader = new AnswerReader(events, due.nanos());
        request.timeout(due.remainingMillis(), TimeUnit.MILLISECONDS).send(reader);
        return reader.answer();
    }

    /**
     * Sets a header field.
     *
     * @param request the request
     * @param name the name
     * @param value the value
     */
    private static void header(Request request, String name, String value) {
        request.headers(fields -> fields.put(name, value));
    }

    /**
     * Holds the body of a request for a ticket.
     *
     * @param requestClass the request class
     */
    private record TicketBody(@JsonProperty("class") String requestClass) {}
}
