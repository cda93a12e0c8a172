package org.magnoliaseam.cli;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.magnoliaseam.error.Result;

/** Reads pages from the operators' port of an entry VM. */
final class OperatorsClient {

    /** The time limit of one read. */
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** The lowest HTTP status that is treated as a failure. */
    private static final int FIRST_FAILURE_STATUS = 300;

    /** The HTTP status of a page that does not exist. */
    private static final int NOT_FOUND = 404;

    /** The streams to write notices to. */
    private final Console mConsole;

    /** The time to wait for an answer before a notice is written. */
    private final Duration mNoticeDelay;

    /**
     * Creates a client.
     *
     * @param console the streams to write notices to
     * @param noticeDelay the time to wait for an answer before a notice is written
     */
    OperatorsClient(Console console, Duration noticeDelay) {
        mConsole = console;
        mNoticeDelay = noticeDelay;
    }

    /**
     * Reads a page.
     *
     * @param address the address of the operators' port
     * @param path the path and query of the page
     * @return the body, or one sentence that states why the read failed
     */
    Result<String, String> read(OperatorsAddress address, String path) {
        HttpClient client = new HttpClient();
        String notice = "waiting for an answer from " + address;
        try (SlowNotice ignored = new SlowNotice(mConsole, notice, mNoticeDelay)) {
            client.start();
            return body(address, path, request(client, address.resolve(path)));
        } catch (ExecutionException e) {
            return Result.err("cannot reach " + address + ": " + e.getCause().getMessage());
        } catch (TimeoutException e) {
            return Result.err(address + " did not answer within " + TIMEOUT.toSeconds() + " s");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Result.err("interrupted");
        } catch (Exception e) {
            return Result.err("cannot start the HTTP client: " + e.getMessage());
        } finally {
            stop(client);
        }
    }

    /**
     * Sends a request.
     *
     * @param client the client
     * @param uri the address of the page
     * @return the answer
     * @throws ExecutionException if the connection fails
     * @throws TimeoutException if the answer does not arrive in time
     * @throws InterruptedException if the thread is interrupted
     */
    private static ContentResponse request(HttpClient client, URI uri)
            throws ExecutionException, TimeoutException, InterruptedException {
        return client.newRequest(uri).timeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).send();
    }

    /**
     * Checks the status of an answer and reads its body.
     *
     * @param address the address that answered
     * @param path the requested path
     * @param response the answer
     * @return the body, or one sentence that states why the read failed
     */
    private static Result<String, String> body(
            OperatorsAddress address, String path, ContentResponse response) {
        if (response.getStatus() == NOT_FOUND) {
            return Result.err(address + " has no page or record at " + path);
        }
        if (response.getStatus() >= FIRST_FAILURE_STATUS) {
            return Result.err(address + " answered with status " + response.getStatus());
        }
        return Result.ok(response.getContentAsString());
    }

    /**
     * Stops a client.
     *
     * @param client the client
     */
    private void stop(HttpClient client) {
        try {
            client.stop();
        } catch (Exception e) {
            mConsole.error("cannot stop the HTTP client: " + e.getMessage());
        }
    }
}
