package org.magnoliaseam.backend;

import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.RequestId;

/** Translates the events of one HTTP exchange into calls of a {@link BackendListener}. */
final class BackendExchange {

    /** The header field that states whether the backend server started the request. */
    private static final String STARTED_HEADER = "X-Started";

    /** The value of {@link #STARTED_HEADER} for a request that was not started. */
    private static final String NOT_STARTED = "no";

    /** The request. */
    private final RequestId mId;

    /** Receives the response. */
    private final BackendListener mListener;

    /** Reads the body and classifies failures. */
    private final ResponseBodyReader mBodyReader;

    /** Tells whether the response ended with its connection. */
    private final ResponseEnd mEnd = new ResponseEnd();

    /** Whether a byte of the request may have been sent. */
    private volatile boolean mSending;

    /** Whether the listener stopped the request before its first byte was sent. */
    private volatile boolean mHeldBack;

    /** Whether the backend server refused the request without starting it. */
    private volatile boolean mRefused;

    /** Why the response is none to this request, in one sentence; null if it is one. */
    private volatile String mMismatch;

    /**
     * Creates an exchange.
     *
     * @param id the request
     * @param listener receives the response
     */
    BackendExchange(RequestId id, BackendListener listener) {
        mId = id;
        mListener = listener;
        mBodyReader = new ResponseBodyReader(listener, () -> mRefused);
    }

    /**
     * Asks the listener whether the request may still be sent, and aborts it if not.
     *
     * @param request the request that is about to be sent
     */
    void sending(Request request) {
        mSending = mListener.sending();
        mHeldBack = !mSending;
        if (mHeldBack) {
            request.abort(new CallCancelledException());
        }
    }

    /** Records that the request has been written. */
    void written() {
        mEnd.written();
    }

    /**
     * Checks the status and header fields and passes them to the listener.
     *
     * @param response the response
     */
    void head(Response response) {
        mEnd.head(response);
        String echoed = response.getHeaders().get(JettyBackendClient.REQUEST_ID_HEADER);
        if (echoed != null && !echoed.equals(mId.value())) {
            mismatch(response, "The answer names another request.");
            return;
        }
        if (!FinalStatus.isValid(response.getStatus())) {
            mismatch(response, FinalStatus.INVALID);
            return;
        }
        String started = response.getHeaders().get(STARTED_HEADER);
        if (response.getStatus() == HttpStatus.SERVICE_UNAVAILABLE_503
                && NOT_STARTED.equals(started)) {
            mRefused = true;
            return;
        }
        List<Header> headers = new ArrayList<>();
        for (HttpField field : response.getHeaders()) {
            headers.add(new Header(field.getName(), field.getValue()));
        }
        mListener.head(new AnswerHead(response.getStatus(), headers));
    }

    /**
     * Aborts a response that is none to this request, which closes its connection.
     *
     * @param response the response
     * @param reason the reason in one sentence
     */
    private void mismatch(Response response, String reason) {
        mMismatch = reason;
        response.abort(new CallCancelledException());
    }

    /**
     * Reads the part of the body that has arrived.
     *
     * @param response the response
     * @param source the body
     */
    void content(Response response, Content.Source source) {
        mBodyReader.content(response, source);
    }

    /**
     * Reports the end of the exchange to the listener.
     *
     * @param result the outcome
     */
    void complete(Result result) {
        if (mHeldBack) {
            mListener.failed(BackendFailure.HELD_BACK, "The facts changed before the send.");
        } else if (mRefused) {
            mListener.failed(
                    BackendFailure.REFUSED, "The backend server refused before the start.");
        } else if (mMismatch != null) {
            mListener.failed(BackendFailure.MISMATCHED, mMismatch);
        } else if (result.isSucceeded() && mEnd.wasReset()) {
            mListener.failed(BackendFailure.CONNECTION_LOST, "The connection was reset.");
        } else if (result.isSucceeded()) {
            mListener.ended();
        } else {
            mBodyReader.fail(mSending, result.getFailure());
        }
    }
}
